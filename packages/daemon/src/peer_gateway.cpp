#include <buckthornvale/daemon/peer_gateway.hpp>
#include <buckthornvale/net/endpoint.hpp>

#include <type_traits>
#include <utility>
#include <variant>

namespace buckthornvale::daemon
{

namespace
{

peer::message message_of(decision::peer_payload const& payload)
{
    return std::visit(
        [](auto const& it) -> peer::message
        {
            using kind = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<kind, decision::peer_ping>)
                return peer::ping{it.target, it.sequence};
            else if constexpr (std::is_same_v<kind, decision::peer_ack>)
                return peer::ack{it.target, it.sequence};
            else
                return it;
        },
        payload);
}

// Hello and goodbye belong to the link itself and have no event.
std::optional<decision::peer_payload> payload_of(peer::message message)
{
    return std::visit(
        [](auto& it) -> std::optional<decision::peer_payload>
        {
            using kind = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<kind, peer::ping>)
                return decision::peer_ping{it.target, it.sequence};
            else if constexpr (std::is_same_v<kind, peer::ack>)
                return decision::peer_ack{it.target, it.sequence};
            else if constexpr (std::is_constructible_v<decision::peer_payload,
                                                       kind>)
                return std::move(it);
            else
                return std::nullopt;
        },
        message);
}

peer::link_handlers handlers_for(event_queue& events)
{
    peer::link_handlers handlers;
    handlers.received = [&events](decision::vm_id from, peer::message message)
    {
        if (auto payload = payload_of(std::move(message)))
            events.post(decision::peer_received{from, *std::move(payload)});
    };
    handlers.event = [&events](decision::vm_id peer,
                               decision::fleet::link_event what,
                               std::uint64_t incarnation) {
        events.post(decision::peer_link_changed{peer, what, incarnation});
    };
    handlers.not_sent = [&events](decision::vm_id peer)
    { events.post(decision::peer_send_failed{peer}); };
    return handlers;
}

} // namespace

peer_gateway::peer_gateway(peer::link_settings settings, event_queue& events)
    : link_(std::move(settings), handlers_for(events))
{
}

bool peer_gateway::execute(decision::send_peer const& effect)
{
    return link_.send(effect.to, message_of(effect.payload)).ok();
}

void peer_gateway::execute(decision::set_peer_targets const& effect)
{
    std::vector<peer::peer_address> peers;
    for (auto const& it : effect.peers)
    {
        auto const address = net::parse_endpoint(it.address);
        if (!address)
            continue;
        peers.push_back({it.vm, address->address().to_string(), address->port(),
                         it.link, it.dial});
    }
    link_.set_peers(peers);
}

} // namespace buckthornvale::daemon
