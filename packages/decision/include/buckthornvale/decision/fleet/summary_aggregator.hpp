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

//! Parameters of summaries.
struct summary_settings
{
    duration period = std::chrono::seconds(1);
    //! A contribution without news for so many periods is left out.
    std::uint32_t stale_periods = 3;
    //! Every so many periods a summary is sent in full.
    std::uint32_t full_periods = 20;
    //! A value is sent again when it differs by more than this fraction of
    //! what was sent last, and by more than the floor. Single requests come and
    //! go all the time and change no decision; without the floor they were
    //! most of the traffic.
    double change_fraction = 0.1;
    double change_floor = 2.;
};

//! A summary for one link.
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

//! Sums summaries over the topology: upwards the sum of a subtree, downwards
//! the sum of the fleet.
class summary_aggregator
{
public:
    explicit summary_aggregator(summary_settings const& settings);

    void set_links(absl::Span<topology_link const> links, time_point now);
    void set_local(load_summary const& summary);
    //! True when the next `tick` sends; only then does it read the local load.
    bool due(time_point now) const { return !started_ || now >= next_send_; }
    void receive(vm_id from, summary_message const& message, time_point now);
    //! Appends one message per link once per period.
    void tick(time_point now, std::vector<outgoing_summary>& out);

    //! Sum over the fleet as last known, this VM included.
    load_summary fleet(time_point now) const;
    //! What each fresh link tells of other VMs; no VM is in two of them, and
    //! this VM is in none. A parent's sum comes without this VM's subtree.
    std::vector<linked_load> others(time_point now) const;
    //! VMs in the fleet's sum, this one included.
    std::uint32_t known_vm_count(time_point now) const;
    //! True when a linked VM's contribution is missing or too old.
    bool stale(time_point now) const;

private:
    struct link_state
    {
        topology_link link;
        bool has_received = false;
        bool in_sequence = false;
        std::uint64_t last_sequence = 0;
        time_point last_received{};
        load_summary received_load; //!< what the other side sent last
        std::uint64_t next_sequence = 1;
        load_summary sent_load; //!< what this side sent last
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
