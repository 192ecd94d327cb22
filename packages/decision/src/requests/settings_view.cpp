#include <buckthornvale/decision/requests/settings_view.hpp>

namespace buckthornvale::decision::requests
{

void settings_view::install(settings_installed const& event)
{
    settings_ = event.settings;
    bool pools_changed = false;
    for (auto const& it : event.changes)
    {
        pools_changed = pools_changed || it.kind == settings_kind::pool;
        if (it.kind != settings_kind::pipeline)
            continue;
        auto const found = settings_->pipelines.find(it.name);
        if (found == settings_->pipelines.end())
            graphs_.erase(it.name);
        else
            graphs_[it.name] = std::make_shared<stage_graph>(found->second);
    }
    if (pools_changed)
        runners_.assign(*settings_);
}

stage_graph_ptr settings_view::graph(std::string const& pipeline) const
{
    auto const it = graphs_.find(pipeline);
    return it == graphs_.end() ? nullptr : it->second;
}

} // namespace buckthornvale::decision::requests
