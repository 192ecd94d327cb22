#ifndef BUCKTHORNVALE_DECISION_ROUTING_ROUTER_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_ROUTER_HPP

#include <buckthornvale/decision/routing/choice_strategy.hpp>
#include <buckthornvale/decision/routing/prefix_index.hpp>
#include <buckthornvale/decision/routing/routing_settings.hpp>
#include <buckthornvale/decision/routing/runner_table.hpp>
#include <buckthornvale/decision/routing/types.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>
#include <pcg_random.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornvale::decision::routing
{

struct routing_counters
{
    std::uint64_t choices = 0;
    std::uint64_t no_runner = 0; //!< choices without a usable runner
    std::uint64_t probes = 0;
    std::uint64_t opened_by_failure = 0;
    std::uint64_t opened_by_slowness = 0;
    std::uint64_t closed = 0;
    std::uint64_t stale_reports = 0;
    std::uint64_t cache_gaps = 0;
    std::uint64_t unknown_attempts = 0;
};

//! Chooses a runner for each stage attempt and updates its estimates from the
//! results.
class router
{
public:
    router(routing_settings settings, std::uint64_t seed);

    //! Replaces the runners of a pool. Runners that join a pool which already
    //! had some are warmed up; the runners of a pool's first list are not.
    void set_runners(pool_id pool, absl::Span<runner_info const> runners,
                     time_point now);

    //! Changes the parameters of later decisions. The strategy and the limits
    //! of the prefix index stay as constructed.
    void configure(routing_settings const& settings);

    //! Marks a runner as leaving: it gets no new attempts, and those in flight
    //! continue.
    void set_leaving(runner_id runner, bool leaving, time_point now);

    //! Excludes a runner from new attempts while a suspect runs alone there.
    void set_reserved(runner_id runner, bool reserved, time_point now);

    //! Sets the number of live VMs that send to the same runners, this one
    //! included.
    void set_fleet_size(std::size_t live_vms, time_point now);

    void report(load_report const& value, time_point now);

    //! Applies a runner's report of its loaded models and adapters.
    void report_resident(runner_id runner,
                         absl::Span<std::uint64_t const> models,
                         absl::Span<std::uint64_t const> adapters,
                         time_point now);

    void cache_event(runner_id runner, routing::cache_event const& event,
                     time_point now);

    //! Picks a runner; empty if no allowed runner is usable. Does not allocate.
    //! The caller reports the attempt with `sent` when it sends it.
    std::optional<runner_id> choose(route_query const& query, time_point now);

    void sent(runner_id runner, attempt_id attempt, route_query const& query,
              time_point now);

    //! Ends an attempt; `took` is the time since `sent`.
    void finished(attempt_id attempt, attempt_result result, duration took,
                  time_point now);

    //! Usable slots of the runners with a closed circuit, scaled down during
    //! warm-up. A runner with a due probe counts as one slot, so that admission
    //! lets the probe through.
    double pool_slots(pool_id pool, time_point now) const;

    //! Attempts of this VM in the runner.
    std::uint32_t in_flight(runner_id runner) const;

    routing_counters const& counters() const { return counters_; }

    //! Memory of the runner table, and of the prefix and adapter indices.
    std::size_t runner_bytes() const { return table_.bytes(); }
    std::size_t index_bytes() const;

private:
    struct tracked_attempt
    {
        runner_index runner = no_index;
        std::uint32_t incarnation = 0;
        bool probe = false;
        double work = 0.; //!< queued ahead plus its own, when it was sent
    };

    std::optional<runner_id>
    choose_probe(pool_entry& pool, route_query const& query, time_point now);
    runner_index choose_idle(candidates const& from) const;
    void find_matches(candidates& from, route_query const& query,
                      time_point now) const;
    void copy_current(absl::Span<prefix_match const> found, bool adapters,
                      prefix_matches& out) const;
    void record_cached(runner_index index, route_query const& query,
                       time_point now);
    void update_estimates(tracked_attempt const& ended, attempt_result result,
                          duration took, time_point now);
    void record_completion(runner_index index, double work, double elapsed,
                           time_point now);
    bool may_open_for_slowness(pool_entry const& pool) const;
    void handle_circuit_change(runner_index index, circuit_state before,
                               time_point now);

    routing_settings settings_;
    pcg32 random_;
    runner_table table_;
    prefix_index prefixes_;
    prefix_index adapters_;
    std::unique_ptr<choice_strategy> strategy_;
    absl::flat_hash_map<attempt_id, tracked_attempt> attempts_;
    std::vector<runner_index> added_;
    routing_counters counters_;
    double correlated_peers_ = 0.; //!< see `load_assumptions`
};

} // namespace buckthornvale::decision::routing

#endif
