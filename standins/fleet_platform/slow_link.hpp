#ifndef BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_SLOW_LINK_HPP
#define BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_SLOW_LINK_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace buckthornvale::standins::fleet_platform
{

//! The link of a VM to a server on loopback. Bytes of all its connections wait
//! behind each other, in each direction for itself, and a receiver that is
//! behind holds up the sender.
class slow_link
{
public:
    slow_link(asio::io_context& loop, std::uint16_t server_port,
              double bytes_per_s);
    ~slow_link();
    slow_link(slow_link const&) = delete;
    slow_link& operator=(slow_link const&) = delete;

    //! Port at which the server is reached over the link.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    //! While cut, all connections over the link are reset.
    void set_cut(bool cut);

    //! Connections over the link stay open and carry nothing further. New ones
    //! work.
    void silence_connections();

    //! Bytes that have come from the server.
    std::size_t received() const { return received_; }

private:
    class session;

    using clock = std::chrono::steady_clock;

    struct direction
    {
        clock::time_point free_at{};
    };

    void accept();

    //! Time at which the link has carried the bytes.
    clock::time_point carry(direction& to, std::size_t bytes) const;

    asio::io_context& loop_;
    asio::ip::tcp::endpoint const server_;
    double const bytes_per_s_;
    asio::ip::tcp::acceptor acceptor_;
    direction up_;
    direction down_;
    std::size_t received_ = 0;
    bool cut_ = false;
    std::vector<std::weak_ptr<session>> sessions_;
    //! Nothing else keeps them open.
    std::vector<std::shared_ptr<session>> silent_sessions_;
};

} // namespace buckthornvale::standins::fleet_platform

#endif
