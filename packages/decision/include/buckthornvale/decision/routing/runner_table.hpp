#ifndef BUCKTHORNVALE_DECISION_ROUTING_RUNNER_TABLE_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_RUNNER_TABLE_HPP

#include <buckthornvale/decision/routing/cache_tracker.hpp>
#include <buckthornvale/decision/routing/circuit_breaker.hpp>
#include <buckthornvale/decision/routing/load_estimate.hpp>
#include <buckthornvale/decision/routing/speed_estimate.hpp>
#include <buckthornvale/decision/routing/types.hpp>
#include <buckthornvale/decision/routing/warm_up.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace buckthornvale::decision::routing
{

//! State of one runner in the router.
struct runner_entry
{
    runner_info info;
    load_estimate load;
    speed_estimate speed;
    circuit_breaker breaker;
    warm_up ramp;
    cache_tracker cache;
    std::vector<std::uint64_t> models; //!< reported as loaded
    double latency = 0.;               //!< decayed mean, seconds
    std::uint32_t incarnation = 0; //!< raised when the table entry is reused
    std::uint16_t adapters_reported = 0; //!< generation of adapter entries
    bool listed = false;
    bool leaving = false;
    bool reserved = false;
};

//! Runners of one failure domain within an index group.
struct domain_range
{
    failure_domain_id domain;
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

//! Usable runners, ordered by failure domain.
struct index_group
{
    std::vector<runner_index> all;
    std::vector<domain_range> domains;

    absl::Span<runner_index const> local(failure_domain_id domain) const;
};

//! Runners of one pool and the means over them.
struct pool_entry
{
    std::vector<runner_index> members; //!< ordered by failure domain
    //! Members whose circuit is not closed.
    std::vector<runner_index> not_closed;
    index_group usable;
    absl::flat_hash_map<std::uint64_t, index_group> by_model;
    double mean_work = 0.05;  //!< decayed mean of expected work, seconds
    double decayed_work = 1.; //!< decayed mean over completions, for the speed
    double decayed_elapsed = 1.;
    double sum_other_requests = 0.; //!< over members with a load report
    std::uint32_t reporting = 0;    //!< members with a load report
    std::uint32_t probes = 0;       //!< in flight
    time_point next_probe = time_point::max();

    double mean_speed() const { return decayed_work / decayed_elapsed; }
    double mean_other_requests() const
    {
        return reporting == 0 ? 0. : sum_other_requests / double(reporting);
    }
};

//! Runners by dense index, with the groups of each pool.
class runner_table
{
public:
    //! Replaces the runners of a pool; appends the new ones to `added`.
    void set_runners(pool_id pool, absl::Span<runner_info const> runners,
                     std::vector<runner_index>& added);

    //! Marks a runner as leaving, also before any list contains it.
    void set_leaving(runner_id runner, bool leaving);

    //! Rebuilds the pool's groups after a change of a runner's state.
    void rebuild(pool_id pool);

    runner_index index_of(runner_id runner) const;
    runner_entry& at(runner_index index) { return entries_[index]; }
    runner_entry const& at(runner_index index) const { return entries_[index]; }
    pool_entry* find_pool(pool_id pool);
    pool_entry const* find_pool(pool_id pool) const;
    pool_entry& pool_of(runner_index index);

    std::size_t bytes() const;

private:
    runner_index add(runner_info const& info);
    void release(runner_index index);
    void order_members(pool_entry& pool);

    std::vector<runner_entry> entries_;
    std::vector<runner_index> free_;
    absl::flat_hash_map<runner_id, runner_index> indices_;
    absl::flat_hash_map<pool_id, pool_entry> pools_;
    absl::flat_hash_set<runner_id> leaving_;
};

} // namespace buckthornvale::decision::routing

#endif
