#ifndef BUCKTHORNVALE_DECISION_REQUESTS_STAGE_GRAPH_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_STAGE_GRAPH_HPP

#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/retry/deadline_split.hpp>

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Position of a stage in its pipeline.
using stage_index = std::size_t;

//! Immutable graph of a pipeline's stages at one settings revision. A request
//! keeps its graph when the settings change.
class stage_graph
{
public:
    explicit stage_graph(pipeline_settings settings);

    pipeline_settings const& settings() const { return settings_; }
    std::size_t size() const { return settings_.stages.size(); }
    stage_settings const& at(stage_index n) const
    {
        return settings_.stages[n];
    }
    pool_id pool_of(stage_index n) const { return pools_[n]; }

    //! Stages whose outputs are inputs of stage `n`.
    absl::Span<stage_index const> inputs_of(stage_index n) const
    {
        return inputs_[n];
    }

    //! The stage whose output is the answer: the last in the settings.
    stage_index last_stage() const { return size() - 1; }

    //! True when at least one stage is non-repeatable.
    bool needs_claim() const { return needs_claim_; }

    //! Longest path by expected time from stage `n` to the end, starting with
    //! `n`.
    absl::Span<retry::remaining_stage const> path_from(stage_index n) const
    {
        return paths_[n];
    }

    //! Longest path by expected time through the whole graph.
    absl::Span<retry::remaining_stage const> longest_path() const;

private:
    void resolve_inputs();
    void compute_longest_paths();

    pipeline_settings settings_;
    std::vector<pool_id> pools_;
    std::vector<std::vector<stage_index>> inputs_;
    std::vector<duration> longest_time_from_;
    std::vector<std::vector<retry::remaining_stage>> paths_;
    bool needs_claim_ = false;
};

using stage_graph_ptr = std::shared_ptr<stage_graph const>;

} // namespace buckthornvale::decision::requests

#endif
