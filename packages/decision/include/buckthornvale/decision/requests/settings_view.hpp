#ifndef BUCKTHORNVALE_DECISION_REQUESTS_SETTINGS_VIEW_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_SETTINGS_VIEW_HPP

#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/requests/runner_directory.hpp>
#include <buckthornvale/decision/requests/stage_graph.hpp>

#include <map>
#include <string>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Kind of a settings object.
enum class settings_kind
{
    ranks,
    fleet,
    pool,
    pipeline,
    organisation
};

//! A settings object that changed.
struct settings_change
{
    settings_kind kind = settings_kind::ranks;
    std::string name; //!< of the pool, pipeline or organisation
};

//! Event: the settings in force changed. The sender owns the settings; they are
//! not copied, so the cost depends only on the size of the change.
struct settings_installed
{
    fleet_settings const* settings = nullptr;
    std::vector<settings_change> changes;
};

//! The settings in force, with the data that request handling derives from
//! them.
class settings_view
{
public:
    //! Applies a change. Graphs of unchanged pipelines are kept.
    void install(settings_installed const& event);

    bool ready() const { return settings_ != nullptr; }
    fleet_settings const& settings() const { return *settings_; }
    runner_directory const& runners() const { return runners_; }

    //! Null for a pipeline that is not in force.
    stage_graph_ptr graph(std::string const& pipeline) const;

private:
    fleet_settings const* settings_ = nullptr;
    runner_directory runners_;
    std::map<std::string, stage_graph_ptr> graphs_;
};

} // namespace buckthornvale::decision::requests

#endif
