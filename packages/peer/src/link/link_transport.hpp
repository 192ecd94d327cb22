#ifndef BUCKTHORNVALE_PEER_SRC_LINK_LINK_TRANSPORT_HPP
#define BUCKTHORNVALE_PEER_SRC_LINK_LINK_TRANSPORT_HPP

#include "endpoint.hpp"
#include <buckthornvale/peer/link/peer_link.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace buckthornvale::peer::detail
{

using handle = websocketpp::connection_hdl;
using handle_order = std::owner_less<handle>;

//! Callbacks of a transport, called on the thread that runs its context.
struct transport_handlers
{
    std::function<void(handle const&, bool outgoing)> opened;
    //! A connection was closed, or could not be opened.
    std::function<void(handle const&, bool refused)> ended;
    std::function<void(handle const&, std::string const& payload)> received;
    //! Whether there is room for one more incoming connection.
    std::function<bool()> has_room;
};

//! WebSocket connections of both directions on one I/O context.
class link_transport
{
public:
    link_transport(asio::io_context& io, transport_handlers handlers);

    //! Listens and accepts connections.
    absl::Status listen(link_settings const& settings);
    void stop_listening();
    //! Port that is listened on.
    std::uint16_t port() const { return port_; }

    //! A connection to a peer that is not opened yet; null on an error.
    client::connection_ptr prepare(peer_address const& address);
    void connect(client::connection_ptr const& connection);
    //! False when the connection is gone, or when more than `queue_bytes`
    //! would wait for it.
    bool send(handle const& id, bool outgoing, std::string const& bytes,
              std::size_t queue_bytes);
    void close(handle const& id, bool outgoing);

private:
    template <class Endpoint>
    void set_handlers(Endpoint& endpoint, bool outgoing,
                      link_settings const& settings);

    asio::io_context& io_;
    transport_handlers handlers_;
    server server_;
    client client_;
    std::uint16_t port_ = 0;
};

} // namespace buckthornvale::peer::detail

#endif
