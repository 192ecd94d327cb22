#ifndef BUCKTHORNVALE_DECISION_FLEET_SUMMARY_AGGREGATOR_HPP
#define BUCKTHORNVALE_DECISION_FLEET_SUMMARY_AGGREGATOR_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/fleet/summary.hpp>
#include <buckthornvale/decision/fleet/topology.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornvale::decision::fleet
{

//! Parameters of the exchange of summaries.
struct summary_settings
{
    duration period = std::chrono::seconds(1);
    //! Number of periods without a message after which the load received over a
    //! link is ignored.
    std::uint32_t stale_periods = 3;
    //! A full summary is sent every this many periods.
    std::uint32_t full_periods = 20;
    //! A value is sent again when it differs from the value sent last by more
    //! than this fraction and by more than the floor. Single requests come and
    //! go all the time without effect on any decision; without the floor they
    //! were most of the traffic.
    double change_fraction = 0.1;
    double change_floor = 2.;
};

//! A summary to send over one link.
struct outgoing_summary
{
    vm_id to;
    summary_message message;
};

//! Load of the VMs behind one link.
struct linked_load
{
    vm_id link;
    load_summary load;
};

//! Aggregates summaries over the topology: the sum of a subtree goes up the
//! tree, the sum of the fleet goes down.
class summary_aggregator
{
public:
    explicit summary_aggregator(summary_settings const& settings);

    void set_links(absl::Span<topology_link const> links, time_point now);
    void set_local(load_summary const& summary);
    //! Returns whether the next `tick` sends summaries; only then does it use
    //! the local load.
    bool due(time_point now) const { return !started_ || now >= next_send_; }
    void receive(vm_id from, summary_message const& message, time_point now);
    //! Appends one message per link, once per period.
    void tick(time_point now, std::vector<outgoing_summary>& out);

    //! Sum over the fleet as last received, this VM included.
    load_summary fleet_load(time_point now) const;
    //! Load of other VMs as received over each fresh link. Every VM is in at
    //! most one of the loads, and this VM is in none: the subtree of this VM is
    //! subtracted from the sum of a parent.
    std::vector<linked_load> loads_by_link(time_point now) const;
    //! Number of VMs in the sum of the fleet, this one included.
    std::uint32_t known_vm_count(time_point now) const;
    //! Returns whether the load of a linked VM is missing or too old.
    bool has_stale_links(time_point now) const;

private:
    struct link_state
    {
        topology_link link;
        bool has_received = false;
        bool in_sequence = false;
        std::uint64_t last_sequence = 0;
        time_point last_received{};
        load_summary received_load; //!< as sent last by the other side
        std::uint64_t next_sequence = 1;
        load_summary sent_load; //!< as known to the other side
        std::uint32_t periods_until_full = 0;
    };

    bool is_fresh(link_state const& state, time_point now) const;
    load_summary subtree_load(time_point now) const;
    load_summary load_for_link(link_state const& state, time_point now) const;
    summary_message make_message(link_state& state, load_summary const& load);
    bool differs(double before, double after) const;

    summary_settings settings_;
    load_summary local_;
    std::vector<link_state> links_;
    time_point next_send_{};
    bool started_ = false;
};

} // namespace buckthornvale::decision::fleet

#endif
