#ifndef BUCKTHORNVALE_PEER_CODEC_MESSAGE_HPP
#define BUCKTHORNVALE_PEER_CODEC_MESSAGE_HPP

#include <buckthornvale/decision/bookings/shard_update.hpp>
#include <buckthornvale/decision/config/config_effects.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/fleet/summary.hpp>
#include <buckthornvale/decision/isolation/isolation_mark.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace buckthornvale::peer
{

//! First message on each connection, from both sides.
struct hello
{
    decision::vm_id vm;
    std::uint64_t incarnation = 0; //!< of the sender's process
};

//! Probe. `target` differs from the receiver when it is asked to probe.
struct ping
{
    decision::vm_id target;
    std::uint64_t sequence = 0;
};

//! Answer to a probe; `target` is the VM found alive.
struct ack
{
    decision::vm_id target;
    std::uint64_t sequence = 0;
};

//! The sender shuts down; the connection's end is no failure.
struct goodbye
{
};

//! Any message of the peer link.
using message = std::variant<
    hello, decision::fleet::summary_message, ping, ack,
    decision::config::revision_announcement, decision::config::settings_pull,
    decision::config::settings_push, decision::bookings::shard_update,
    decision::bookings::update_answer, decision::isolation::isolation_mark,
    goodbye>;

} // namespace buckthornvale::peer

#endif
