#ifndef BUCKTHORNVALE_DECISION_ROUTING_CACHE_WARMER_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_CACHE_WARMER_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::routing
{

//! Prefix and adapter that are kept warm for an organisation.
struct warm_target
{
    organisation_id organisation;
    pool_id pool;
    std::uint64_t adapter = 0;
    std::uint64_t model = 0;
    std::vector<std::uint64_t> prefix_blocks;
    duration work{};    //!< of one refresh, as time at speed 1
    double worth = 1.0; //!< value of a warm start relative to other targets
};

struct warm_settings
{
    //! Time after which engines drop an unused prefix or adapter.
    duration cache_lifetime = std::chrono::minutes(5);
    //! A target that was unused for this share of the lifetime is refreshed.
    double refresh_at = 0.8;
    //! Share of the fleet's slot time that refreshes may use.
    double budget_share = 0.01;
    std::size_t max_targets = 512;
    std::size_t max_blocks = 64; //!< kept per target
};

//! Cost and benefit of the refreshes.
struct warm_counters
{
    std::uint64_t refreshes = 0;
    double work_s = 0.; //!< refresh work, seconds at speed 1
    //! Uses that would have been cold without a refresh.
    std::uint64_t warm_hits = 0;
    std::uint64_t over_budget = 0;
    std::uint64_t dropped = 0; //!< targets dropped because the table was full
};

//! Decides which rarely used prefixes and adapters are run again before the
//! engines evict them. Each target is refreshed by one VM, its owner by
//! rendezvous hashing over the live VMs; the owner accounts for the cost.
class cache_warmer
{
public:
    explicit cache_warmer(warm_settings settings = {});

    //! Adds or replaces the target of an organisation in a pool. When full, the
    //! target with the least worth per unit of work is dropped.
    void add_target(warm_target target, time_point now);
    void remove_targets(organisation_id organisation);

    void set_vms(vm_id self, absl::Span<vm_id const> live);

    //! Sets the usable slots of all pools, on which the budget is based.
    void set_slots(double slots, time_point now);

    //! Records that a request of the organisation ran in the pool.
    void record_use(organisation_id organisation, pool_id pool, time_point now);

    //! Appends the targets to refresh now, highest worth per unit of work
    //! first, within the budget. Pointers are valid until the next change.
    void take_due(time_point now, std::vector<warm_target const*>& out);

    std::size_t targets() const { return targets_.size(); }
    warm_counters const& counters() const { return counters_; }

private:
    struct tracked_target
    {
        warm_target target;
        time_point last_used;
        time_point last_refreshed;
    };

    tracked_target* find(organisation_id organisation, pool_id pool);
    bool owns(warm_target const& target) const;
    void accrue_budget(time_point now);
    void drop_excess();

    warm_settings settings_;
    //! Highest worth per unit of work first.
    std::vector<tracked_target> targets_;
    vm_id self_;
    std::vector<vm_id> live_;
    double slots_ = 0.;
    double budget_s_ = 0.; //!< refresh work that may be spent now
    time_point accrued_at_{};
    warm_counters counters_;
};

} // namespace buckthornvale::decision::routing

#endif
