#ifndef BUCKTHORNVALE_DECISION_REDUCER_EVENT_HPP
#define BUCKTHORNVALE_DECISION_REDUCER_EVENT_HPP

#include <buckthornvale/decision/bookings/booking_effects.hpp>
#include <buckthornvale/decision/config/config_effects.hpp>
#include <buckthornvale/decision/fleet/member.hpp>
#include <buckthornvale/decision/leases/lease_effects.hpp>
#include <buckthornvale/decision/leases/order_planner.hpp>
#include <buckthornvale/decision/reducer/peer_payload.hpp>
#include <buckthornvale/decision/requests/attempt_messages.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>
#include <buckthornvale/decision/requests/settings_view.hpp>

#include <string>
#include <variant>
#include <vector>

namespace buckthornvale::decision
{

//! A watch failed because the store has compacted its revision.
struct watch_revision_compacted
{
    config::call_token token = 0;
};

//! A list or watch call failed or was not answered.
struct settings_call_failed
{
    config::call_token token = 0;
};

//! Answer to a call for a lease object.
struct lease_call_answered
{
    pool_id pool;
    leases::lease_status status = leases::lease_status::unknown;
    std::uint64_t call = 0;
    std::uint64_t version = 0;
    std::string value;
};

//! An engine refused an order, or its acceptance is unknown.
struct order_failed
{
    pool_id pool;
    leases::engine_order order;
};

//! The platform's list of VMs was read.
struct vm_list_read
{
    std::vector<fleet::listed_vm> vms;
};

//! The state of the link to a peer changed, or there was activity on it.
struct peer_link_changed
{
    vm_id peer;
    fleet::link_event what = fleet::link_event::connected;
    std::uint64_t incarnation = 0; //!< set for `connected` only
};

//! A message could not be delivered to a peer.
struct peer_send_failed
{
    vm_id peer;
};

//! A peer's message arrived.
struct peer_received
{
    vm_id from;
    peer_payload payload;
};

//! The process was asked to shut down.
struct drain_started
{
};

//! Periodic timer event, sent every few milliseconds.
struct ticked
{
    wall_time wall;
};

//! All inputs of the reducer.
using event =
    std::variant<requests::request_received, requests::caller_gone,
                 requests::outcome_queried, requests::attempt_token,
                 requests::attempt_ended, requests::service_outcome_received,
                 requests::runner_reported, requests::runner_cache_changed,
                 requests::settings_installed, bookings::store_answer,
                 config::list_answer, config::watch_answer,
                 watch_revision_compacted, settings_call_failed, vm_list_read,
                 peer_link_changed, peer_send_failed, lease_call_answered,
                 order_failed, peer_received, drain_started, ticked>;

} // namespace buckthornvale::decision

#endif
