#ifndef BUCKTHORNVALE_STANDINS_COMMON_CONNECTION_SERVER_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_CONNECTION_SERVER_HPP

#include "common/connection.hpp"
#include "common/wake_event.hpp"

#include <atomic>
#include <cstddef>
#include <string>

namespace buckthornvale::standins
{

//! Limits of the server as a whole.
struct server_limits
{
    connection_limits connection;
    std::size_t threads = 160;
    //! Connections that wait for a thread; more are refused at once.
    std::size_t max_queued_connections = 64;
    std::size_t max_requests_per_connection = 1000;
};

//! cpp-httplib's server with own connections: a handler can reach the socket
//! of its caller, limits are enforced while reading, and the server can stop
//! accepting without ending streams in flight. Bodies are always delivered
//! raw; forms, ranges and compression are switched off.
class connection_server : public httplib::Server
{
public:
    explicit connection_server(server_limits const& limits);

    //! The connection whose request runs on this thread; null outside of one.
    static connection* current();

    //! Raises the kernel's queue of unaccepted connections above the 5 of
    //! cpp-httplib; call it between bind and listen_after_bind.
    void raise_backlog();

    //! Ends accepting. Requests in flight go on; listen_after_bind returns
    //! when the last one has ended. Use it in place of stop(), which cuts
    //! streamed answers.
    void stop_accepting();
    bool stopping() const { return stopping_; }

private:
    bool process_and_close_socket(socket_t sock) override;
    void serve(connection& caller);
    void refuse(socket_t sock) const;

    server_limits limits_;
    wake_event stop_event_;
    std::atomic<bool> stopping_{false};
};

} // namespace buckthornvale::standins

#endif
