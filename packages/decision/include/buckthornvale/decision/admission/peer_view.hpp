#ifndef BUCKTHORNVALE_DECISION_ADMISSION_PEER_VIEW_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_PEER_VIEW_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace buckthornvale::decision::admission
{

//! Demand of one organisation, summed over the peers with fresh summaries.
struct peer_organisation_demand
{
    double request_rate = 0.0;
    double in_flight = 0.0;
    std::array<double, rank_count> cost_rate{};
    //! Sum of the `unlisted_request_rate` of the peers that list the
    //! organisation. It is subtracted from the sum over all peers, because the
    //! bound only applies to peers that do not list it.
    double listed_bounds = 0.0;
};

//! State of the peers as known to this VM: fresh demand summaries and the size
//! of the fleet.
class peer_view
{
public:
    peer_view(duration summary_lifetime, duration fleet_size_window);

    void set_fleet(std::size_t live_vms, time_point now);
    void update(vm_id peer, demand_summary const& summary, time_point now);

    //! Recomputes the sums over the fresh summaries. Call it before the queries
    //! below.
    void refresh(time_point now);

    //! Number of live entry VMs, this one included.
    std::size_t fleet_size() const;

    //! Largest fleet size within the fleet size window, as of the last refresh.
    std::size_t largest_fleet_size() const;

    //! Number of VMs without a fresh summary, counted against the largest fleet
    //! size, as of the last refresh.
    std::size_t stale_vms() const;

    //! Fresh summaries, as of the last refresh.
    std::vector<demand_summary const*> const& fresh() const { return fresh_; }

    //! Number of VMs that the fresh summaries cover.
    std::size_t fresh_vms() const { return fresh_vms_; }

    //! Sum over the fresh summaries; all zero for an organisation that none
    //! lists.
    peer_organisation_demand organisation(organisation_id id) const;

    //! Sum over the fresh summaries of their bounds for unlisted organisations.
    double unlisted_request_rate() const { return unlisted_rate_sum_; }

    //! Largest of these bounds.
    double largest_unlisted_request_rate() const { return unlisted_rate_max_; }

private:
    struct received_summary
    {
        demand_summary summary;
        time_point received_at;
    };

    void expire_earlier_sizes(time_point now);
    void add_organisations(demand_summary const& summary);

    duration summary_lifetime_;
    duration fleet_size_window_;
    std::size_t live_vms_ = 1;
    //! Earlier fleet sizes above the current one in descending order, each with
    //! the time until which it was in force.
    std::deque<std::pair<time_point, std::size_t>> earlier_sizes_;
    //! Ordered, so that sums are reproducible.
    std::map<vm_id, received_summary> peers_;
    std::vector<demand_summary const*> fresh_;
    std::size_t fresh_vms_ = 0;
    absl::flat_hash_map<organisation_id, peer_organisation_demand>
        organisations_;
    double unlisted_rate_sum_ = 0.0;
    double unlisted_rate_max_ = 0.0;
};

} // namespace buckthornvale::decision::admission

#endif
