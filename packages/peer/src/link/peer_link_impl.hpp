#ifndef BUCKTHORNVALE_PEER_SRC_LINK_PEER_LINK_IMPL_HPP
#define BUCKTHORNVALE_PEER_SRC_LINK_PEER_LINK_IMPL_HPP

#include "connection_table.hpp"
#include "dial_backoff.hpp"
#include "link_counts.hpp"
#include "link_transport.hpp"
#include "peer_table.hpp"
#include <buckthornvale/peer/link/peer_link.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace buckthornvale::peer
{

//! Links of one VM: which are opened, greeted, replaced and closed, and when.
//! State on the links' thread. Only send(), port() and counters() are called
//! from other threads.
class peer_link::impl
{
public:
    impl(link_settings settings, link_handlers handlers);

    absl::Status start();
    void stop();
    std::uint16_t port() const { return transport_.port(); }
    void set_peers(std::vector<peer_address> peers);
    absl::Status send(decision::vm_id to, message const& value);
    link_counters counters() const { return counts_.get(); }

private:
    using handle = detail::handle;
    using connection_state = detail::connection_state;
    using peer_state = detail::peer_state;
    using link_event = decision::fleet::link_event;

    detail::transport_handlers make_handlers();
    void apply_peers(std::vector<peer_address> const& peers);
    void opened(handle const& id, bool outgoing);
    void ended(handle const& id, bool refused);
    void received(handle const& id, std::string const& payload);
    bool replaces(peer_state const& peer, connection_state const& state,
                  std::uint64_t incarnation) const;
    void greeted(handle const& id, connection_state& state, hello const& value);
    void dial(peer_state& peer);
    void dial_failed(peer_state& peer, link_event event);
    void deliver(decision::vm_id to, std::string bytes);
    bool write(handle const& id, bool outgoing, std::string const& bytes);
    void flush(peer_state& peer);
    void close(handle const& id);
    void drop(decision::vm_id to);
    void tick();
    void arm_timer();
    void report(decision::vm_id vm, link_event event,
                std::uint64_t incarnation = 0);

    link_settings settings_;
    link_handlers handlers_;
    detail::dial_backoff backoff_;
    asio::io_context io_;
    asio::steady_timer timer_;
    detail::link_transport transport_;
    std::thread thread_;
    bool stopping_ = false;
    detail::connection_table connections_;
    detail::peer_table peers_;
    std::atomic<std::size_t> posted_bytes_{0};
    detail::link_counts counts_;
};

} // namespace buckthornvale::peer

#endif
