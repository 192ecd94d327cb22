#ifndef BUCKTHORNVALE_DECISION_REDUCER_EFFECT_HPP
#define BUCKTHORNVALE_DECISION_REDUCER_EFFECT_HPP

#include <buckthornvale/decision/bookings/booking_effects.hpp>
#include <buckthornvale/decision/config/config_effects.hpp>
#include <buckthornvale/decision/reducer/peer_payload.hpp>
#include <buckthornvale/decision/requests/effect.hpp>

#include <string>
#include <variant>
#include <vector>

namespace buckthornvale::decision
{

//! Parse these objects and install what is valid. A deleted object has its
//! tombstone's version.
struct apply_settings
{
    std::vector<config::settings_object> objects;
    std::uint64_t revision = 0; //!< all changes up to it are included
};

//! Send to one peer; delivery is not guaranteed.
struct send_peer
{
    vm_id to;
    peer_payload payload;
};

//! A VM that may be reached, and whether a link to it is kept open.
struct peer_target
{
    vm_id vm;
    std::string address; //!< IP number and port
    bool link = false;   //!< part of the topology
    bool dial = false;   //!< this side opens the link
};

//! Keep these links and no others.
struct set_peer_targets
{
    std::vector<peer_target> peers;
};

//! Everything that the reducer asks its shells to do.
using effect = std::variant<
    requests::send_answer, requests::send_token, requests::start_attempt,
    requests::cancel_attempt, requests::ask_service_outcome,
    requests::request_counted, requests::stage_counted, requests::event_counted,
    requests::state_logged, bookings::read_object, bookings::write_object,
    bookings::delete_object, config::list_objects, config::watch_objects,
    apply_settings, send_peer, set_peer_targets>;

//! Effects in the order in which they were decided.
using effects = std::vector<effect>;

} // namespace buckthornvale::decision

#endif
