#ifndef BUCKTHORNVALE_DAEMON_PEER_GATEWAY_HPP
#define BUCKTHORNVALE_DAEMON_PEER_GATEWAY_HPP

#include <buckthornvale/daemon/event_queue.hpp>
#include <buckthornvale/decision/reducer/effect.hpp>
#include <buckthornvale/peer/link/peer_link.hpp>

namespace buckthornvale::daemon
{

//! Connects the reducer to the links between VMs.
class peer_gateway
{
public:
    peer_gateway(peer::link_settings settings, event_queue& events);

    absl::Status start() { return link_.start(); }
    //! Says goodbye to the peers and closes the links.
    void stop() { link_.stop(); }
    std::uint16_t port() const { return link_.port(); }

    //! False when the message was dropped: no link, or its queue is full.
    bool execute(decision::send_peer const& effect);
    void execute(decision::set_peer_targets const& effect);

    peer::link_counters counters() const { return link_.counters(); }

private:
    peer::peer_link link_;
};

} // namespace buckthornvale::daemon

#endif
