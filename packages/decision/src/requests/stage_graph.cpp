#include <buckthornvale/decision/requests/stage_graph.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace buckthornvale::decision::requests
{

stage_graph::stage_graph(pipeline_settings settings)
    : settings_(std::move(settings))
{
    for (auto const& it : settings_.stages)
    {
        pools_.push_back(pool_id::of(it.pool));
        needs_claim_ = needs_claim_ || !it.repeatable;
    }
    resolve_inputs();
    compute_longest_paths();
}

void stage_graph::resolve_inputs()
{
    inputs_.resize(size());
    for (stage_index n = 0; n < size(); ++n)
    {
        for (auto const& name : at(n).after)
        {
            for (stage_index k = 0; k < n; ++k)
            {
                if (at(k).name == name)
                    inputs_[n].push_back(k);
            }
        }
    }
}

void stage_graph::compute_longest_paths()
{
    longest_time_from_.assign(size(), duration::zero());
    paths_.resize(size());
    for (stage_index n = size(); n-- > 0;)
    {
        auto const key = absl::StrCat(settings_.name, "/", at(n).name);
        longest_time_from_[n] += at(n).expected;
        paths_[n].insert(paths_[n].begin(), {stable_hash(key), at(n).expected});
        for (auto k : inputs_[n])
        {
            if (longest_time_from_[n] < longest_time_from_[k])
                continue;
            longest_time_from_[k] = longest_time_from_[n];
            paths_[k] = paths_[n];
        }
    }
}

absl::Span<retry::remaining_stage const> stage_graph::longest_path() const
{
    auto const longest =
        std::max_element(longest_time_from_.begin(), longest_time_from_.end());
    if (longest == longest_time_from_.end())
        return {};
    return paths_[static_cast<stage_index>(longest -
                                           longest_time_from_.begin())];
}

} // namespace buckthornvale::decision::requests
