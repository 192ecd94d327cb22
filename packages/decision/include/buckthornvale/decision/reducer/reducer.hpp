#ifndef BUCKTHORNVALE_DECISION_REDUCER_REDUCER_HPP
#define BUCKTHORNVALE_DECISION_REDUCER_REDUCER_HPP

#include <buckthornvale/decision/admission/admission_controller.hpp>
#include <buckthornvale/decision/bookings/booking_table.hpp>
#include <buckthornvale/decision/config/settings_state.hpp>
#include <buckthornvale/decision/fleet/failure_detector.hpp>
#include <buckthornvale/decision/fleet/membership.hpp>
#include <buckthornvale/decision/fleet/summary_aggregator.hpp>
#include <buckthornvale/decision/isolation/crash_isolation.hpp>
#include <buckthornvale/decision/leases/pool_orders.hpp>
#include <buckthornvale/decision/reducer/effect.hpp>
#include <buckthornvale/decision/reducer/event.hpp>
#include <buckthornvale/decision/requests/request_flow.hpp>
#include <buckthornvale/decision/requests/settings_view.hpp>
#include <buckthornvale/decision/retry/deadline_split.hpp>
#include <buckthornvale/decision/retry/hedge_policy.hpp>
#include <buckthornvale/decision/retry/retry_budget.hpp>
#include <buckthornvale/decision/routing/router.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthornvale::decision
{

//! Identity of this VM and settings of the components.
struct reducer_settings
{
    std::string vm;
    std::string failure_domain;
    std::uint64_t incarnation = 0; //!< random, chosen at process start
    std::uint64_t seed = 0;
    admission::admission_settings admission;
    routing::routing_settings routing;
    bookings::booking_settings bookings;
    config::config_settings config;
    fleet::detector_settings detector;
    fleet::summary_settings summaries;
    isolation::isolation_settings isolation;
};

//! Status of a VM for operators.
struct reducer_status
{
    std::uint64_t settings_revision = 0;
    bool ready = false;
    bool draining = false;
    std::size_t requests_in_flight = 0;
    std::size_t queued = 0;
    std::vector<fleet::member> members;
};

//! Makes all decisions of one VM as a state machine: events go in, effects come
//! out as data. It has no clock, sockets or threads, so the same events at the
//! same times always give the same effects.
class reducer
{
public:
    explicit reducer(reducer_settings const& settings);
    reducer(reducer const&) = delete;
    reducer& operator=(reducer const&) = delete;

    //! Handles one event and appends the resulting effects.
    void reduce(event const& value, time_point now, effects& out);

    //! True when settings are loaded and the VM is not draining.
    bool ready() const;

    //! True when no request is in flight, so that a drain may end.
    bool idle() const { return request_flow_.in_flight() == 0; }

    reducer_status status() const;

private:
    void on(requests::request_received const&, time_point, effects&);
    void on(requests::caller_gone const&, time_point, effects&);
    void on(requests::outcome_queried const&, time_point, effects&);
    void on(requests::attempt_token const&, time_point, effects&);
    void on(requests::attempt_ended const&, time_point, effects&);
    void on(requests::service_outcome_received const&, time_point, effects&);
    void on(requests::runner_reported const&, time_point, effects&);
    void on(requests::runner_cache_changed const&, time_point, effects&);
    void on(requests::settings_installed const&, time_point, effects&);
    void on(bookings::store_answer const&, time_point, effects&);
    void on(config::list_answer const&, time_point, effects&);
    void on(config::watch_answer const&, time_point, effects&);
    void on(watch_revision_compacted const&, time_point, effects&);
    void on(settings_call_failed const&, time_point, effects&);
    void on(vm_list_read const&, time_point, effects&);
    void on(peer_link_changed const&, time_point, effects&);
    void on(lease_call_answered const&, time_point, effects&);
    void on(order_failed const&, time_point, effects&);
    void on(peer_send_failed const&, time_point, effects&);
    void on(peer_received const&, time_point, effects&);
    void on(drain_started const&, time_point, effects&);
    void on(ticked const&, time_point, effects&);

    void on_peer_message(vm_id, fleet::summary_message const&, time_point,
                         effects&);
    void on_peer_message(vm_id, peer_ping const&, time_point, effects&);
    void on_peer_message(vm_id, peer_ack const&, time_point, effects&);
    void on_peer_message(vm_id, config::revision_announcement const&,
                         time_point, effects&);
    void on_peer_message(vm_id, config::settings_pull const&, time_point,
                         effects&);
    void on_peer_message(vm_id, config::settings_push const&, time_point,
                         effects&);
    void on_peer_message(vm_id, bookings::shard_update const&, time_point,
                         effects&);
    void on_peer_message(vm_id, bookings::update_answer const&, time_point,
                         effects&);
    void on_peer_message(vm_id, isolation::isolation_mark const&, time_point,
                         effects&);

    //! Collects the effects of request handling until `flush`.
    requests::flow_output flow_output()
    {
        return {request_effects_, store_effects_};
    }
    void apply_booking_effects(bookings::booking_effects& decisions,
                               time_point now);
    void flush(effects& out);
    void flush_store(effects& out);
    void emit_config_effects(effects& out);
    void emit_settings_change(config::settings_changed const& changed,
                              effects& out);
    void emit_detector_effects(time_point now, effects& out);
    void apply_fleet_settings(fleet_parameters const& parameters);
    void apply_pool_settings(std::string const& name, time_point now);
    void apply_organisation_settings(std::string const& name);
    void update_leaving(runner_id runner, time_point now);
    void update_capacity(time_point now);
    void configure_pool_orders(pool_settings const& pool);
    void tick_orders(time_point now, effects& out);
    void emit_lease_call(leases::pool_orders const& orders,
                         leases::lease_effect const& call, effects& out);
    void update_topology(time_point now, effects& out);
    void update_peer_targets(std::vector<fleet::member> const& live,
                             time_point now, effects& out);
    void send_summaries(time_point now, effects& out);
    void apply_peer_demand(time_point now);
    void send_isolation_marks(time_point now, effects& out);
    fleet::load_summary local_summary(time_point now) const;
    void emit_counter_changes();
    void log(std::string text);

    //! Sources that may mark a runner as leaving. Any of them suffices.
    struct leaving_reasons
    {
        bool by_settings = false;
        bool by_report = false;
        bool by_list = false;
    };

    reducer_settings settings_;
    vm_id self_;
    wall_time wall_time_{};
    bool draining_ = false;

    config::settings_state config_;
    requests::settings_view settings_view_;
    admission::admission_controller admission_;
    routing::router router_;
    isolation::crash_isolation isolation_;
    retry::retry_budget retry_budget_;
    retry::deadline_split deadline_split_;
    retry::hedge_policy hedge_policy_;
    bookings::booking_table bookings_;
    fleet::membership membership_;
    fleet::failure_detector detector_;
    fleet::summary_aggregator summaries_;
    requests::request_flow request_flow_;

    //! Engine pools whose settings list models, by pool id.
    std::map<pool_id, leases::pool_orders> pool_orders_;
    time_point next_orders_at_{};
    absl::flat_hash_map<runner_id, leaving_reasons> leaving_reasons_;
    std::vector<vm_id> connected_peers_; //!< peers with an open link
    std::vector<vm_id> topology_peers_;
    std::uint64_t topology_generation_ = 0;
    bool had_no_links_ = true; //!< at the last topology update
    //! Totals of the components' counters when they were last reported.
    std::array<std::uint64_t, 3> reported_totals_{};
    requests::effect_list request_effects_; //!< reused between events
    bookings::booking_effects store_effects_;
    config::config_effects config_effects_;
    fleet::detector_effects detector_effects_;
};

} // namespace buckthornvale::decision

#endif
