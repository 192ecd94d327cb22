#ifndef BUCKTHORNVALE_PEER_LINK_PEER_LINK_HPP
#define BUCKTHORNVALE_PEER_LINK_PEER_LINK_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/fleet/member.hpp>
#include <buckthornvale/peer/codec/message.hpp>

#include <absl/status/status.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace buckthornvale::peer
{

//! Parameters of the links of one VM.
struct link_settings
{
    decision::vm_id self;
    std::uint64_t incarnation = 0;
    std::string address = "127.0.0.1"; //!< IP address to listen on
    std::uint16_t port = 0;            //!< 0: any free port
    std::uint64_t seed = 0;            //!< of the backoff's jitter

    //! Bytes that wait for one link; further messages are dropped and counted.
    std::size_t queue_bytes = 4'000'000;
    //! Connections of links that peers opened, and of links opened on demand.
    std::size_t max_accepted = 512;
    std::size_t max_extra_links = 64;
    std::chrono::milliseconds connect_timeout{2000};
    std::chrono::milliseconds hello_timeout{2000};
    std::chrono::milliseconds backoff_first{100};
    std::chrono::milliseconds backoff_last{5000};
    //! A link that was opened on demand ends after so long without a message.
    std::chrono::milliseconds extra_idle{60000};
    std::chrono::milliseconds tick{50};
};

//! Where a peer listens.
struct peer_address
{
    decision::vm_id vm;
    std::string host; //!< IP address
    std::uint16_t port = 0;
    bool link = false; //!< part of the topology: kept open
    bool dial = false; //!< this side opens the topology's link
};

//! Callbacks, called on the links' thread; they must not block.
struct link_handlers
{
    std::function<void(decision::vm_id, message)> received;
    //! A change of a link; the incarnation is given with `connected`.
    std::function<void(decision::vm_id, decision::fleet::link_event,
                       std::uint64_t incarnation)>
        event;
    //! A message could not be handed to the peer.
    std::function<void(decision::vm_id)> not_sent;
};

//! Counters of the links.
struct link_counters
{
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t dropped = 0; //!< queue full or no link
    std::uint64_t damaged = 0;
    std::uint64_t unknown_type = 0;
    std::uint64_t connects = 0;
    std::uint64_t refused = 0;
};

//! WebSocket links to other VMs: one listening socket and any number of
//! outgoing connections on one thread. Messages of one link arrive in order;
//! delivery is not guaranteed.
class peer_link
{
public:
    peer_link(link_settings settings, link_handlers handlers);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    //! Listens and starts the thread.
    absl::Status start();
    //! Says goodbye, closes all links and ends the thread.
    void stop();
    //! Port that is listened on.
    std::uint16_t port() const;

    //! All VMs that may be reached. Links that are no longer listed end.
    void set_peers(absl::Span<peer_address const> peers);
    //! Sends from any thread. A VM of the list without a link gets one on
    //! demand. Errors: resource_exhausted when too much waits already.
    absl::Status send(decision::vm_id to, message const& value);

    link_counters counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace buckthornvale::peer

#endif
