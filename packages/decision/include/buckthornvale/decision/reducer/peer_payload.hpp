#ifndef BUCKTHORNVALE_DECISION_REDUCER_PEER_PAYLOAD_HPP
#define BUCKTHORNVALE_DECISION_REDUCER_PEER_PAYLOAD_HPP

#include <buckthornvale/decision/bookings/shard_update.hpp>
#include <buckthornvale/decision/config/config_effects.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/fleet/summary.hpp>

#include <cstdint>
#include <variant>

namespace buckthornvale::decision
{

//! Liveness probe. When `target` is not the receiver, the receiver is asked to
//! probe the target on behalf of the sender.
struct peer_ping
{
    vm_id target;
    std::uint64_t sequence = 0;
};

//! Answer to a probe; `target` is the VM that responded.
struct peer_ack
{
    vm_id target;
    std::uint64_t sequence = 0;
};

//! Messages between the reducers of two VMs.
using peer_payload =
    std::variant<fleet::summary_message, peer_ping, peer_ack,
                 config::revision_announcement, config::settings_pull,
                 config::settings_push, bookings::shard_update,
                 bookings::update_answer, isolation::isolation_mark>;

} // namespace buckthornvale::decision

#endif
