#ifndef BUCKTHORNVALE_DECISION_ROUTING_CANDIDATES_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_CANDIDATES_HPP

#include <buckthornvale/decision/routing/prefix_index.hpp>
#include <buckthornvale/decision/routing/routing_settings.hpp>
#include <buckthornvale/decision/routing/runner_table.hpp>

namespace buckthornvale::decision::routing
{

//! Read-only view of the runners available to one query, with the estimates
//! that strategies choose by. Valid during one choice.
class candidates
{
public:
    candidates(routing_settings const& settings, runner_table const& table,
               pool_entry const& pool, route_query const& query,
               double correlated_peers, time_point now);

    absl::Span<runner_index const> usable() const { return usable_; }
    absl::Span<runner_index const> local() const { return local_; }
    absl::Span<prefix_match const> prefix_holders() const
    {
        return prefixes.span();
    }
    absl::Span<prefix_match const> adapter_holders() const
    {
        return adapters.span();
    }

    route_query const& query() const { return query_; }

    //! Returns whether the cost of another failure domain is significant
    //! compared with the work.
    bool prefers_local() const;

    //! False for runners that the query excludes.
    bool allowed(runner_index index) const;

    //! Returns whether the match's runner is listed in the query's pool and
    //! usable.
    bool is_live(prefix_match const& match) const;

    //! Expected seconds to completion: (work ahead + own work - cached work) /
    //! speed + cost of another failure domain + stall penalty.
    double cost(runner_index index) const;

    //! Work queued ahead of the attempt plus its own, in seconds at speed 1.
    double work(runner_index index) const;

    //! Estimated requests in the runner per slot.
    double load(runner_index index) const;

    //! Attempts of this VM in the runner per slot.
    double own_load(runner_index index) const;

    //! Decayed mean of the runner's response times, seconds.
    double latency(runner_index index) const;

    //! Filled by the router before the choice.
    prefix_matches prefixes;
    prefix_matches adapters;

private:
    double cache_saving(runner_index index, double work) const;
    double adapter_cost(runner_index index) const;
    double requests_ahead(runner_entry const& entry) const;
    double stall_penalty(runner_entry const& entry) const;

    routing_settings const& settings_;
    runner_table const& table_;
    pool_entry const& pool_;
    route_query const& query_;
    time_point now_;
    absl::Span<runner_index const> usable_;
    absl::Span<runner_index const> local_;
    load_assumptions load_assumptions_;
    double mean_speed_ = 1.;
    double own_work_ = 0.;
    double saved_per_block_ = 0.;
    double remote_cost_ = 0.;
};

} // namespace buckthornvale::decision::routing

#endif
