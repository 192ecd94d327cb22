#ifndef BUCKTHORNVALE_DECISION_REDUCER_EFFECT_HPP
#define BUCKTHORNVALE_DECISION_REDUCER_EFFECT_HPP

#include <buckthornvale/decision/bookings/booking_effects.hpp>
#include <buckthornvale/decision/config/config_effects.hpp>
#include <buckthornvale/decision/leases/order_planner.hpp>
#include <buckthornvale/decision/reducer/peer_payload.hpp>
#include <buckthornvale/decision/requests/effect.hpp>

#include <string>
#include <variant>
#include <vector>

namespace buckthornvale::decision
{

//! Parse these objects and apply the valid ones. A deleted object has the
//! version of its tombstone.
struct apply_settings
{
    std::vector<config::settings_object> objects;
    std::uint64_t revision = 0; //!< includes all changes up to it
};

//! Send a message to one peer. Delivery is not guaranteed.
struct send_peer
{
    vm_id to;
    peer_payload payload;
};

//! Address of a peer, and whether a link to it is to be kept open.
struct peer_target
{
    vm_id vm;
    std::string address; //!< IP number and port
    bool link = false;   //!< keep a link to it open
    bool dial = false;   //!< this side opens the connection
};

//! Replace the set of peers: keep links to those with `link` set, and to no
//! others.
struct set_peer_targets
{
    std::vector<peer_target> peers;
};

//! Read the lease object of a pool.
struct read_lease_object
{
    pool_id pool;
    std::uint64_t call = 0; //!< call id, echoed in the answer
    std::string path;
};

//! Write the lease object of a pool if its version is the expected one.
struct write_lease_object
{
    pool_id pool;
    std::uint64_t call = 0;
    std::string path;
    std::uint64_t expected_version = 0;
    std::string value;
};

//! Send an order to an engine, unless `valid_for` has passed before the send:
//! orders are allowed only while the lease is held.
struct send_order
{
    pool_id pool;
    leases::engine_order order;
    std::string model; //!< name of the model in `order`
    std::string host;  //!< IP number
    std::uint16_t port = 0;
    duration valid_for{};
};

//! All actions that the reducer asks the I/O layer to execute.
using effect = std::variant<
    requests::send_answer, requests::send_token, requests::start_attempt,
    requests::cancel_attempt, requests::query_service_outcome,
    requests::request_counted, requests::stage_counted, requests::event_counted,
    requests::state_logged, bookings::read_object, bookings::write_object,
    bookings::delete_object, config::list_objects, config::watch_objects,
    apply_settings, send_peer, set_peer_targets, read_lease_object,
    write_lease_object, send_order>;

//! Effects in the order in which they were produced.
using effects = std::vector<effect>;

} // namespace buckthornvale::decision

#endif
