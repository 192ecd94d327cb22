#ifndef BUCKTHORNVALE_NET_HTTP_CLIENT_HPP
#define BUCKTHORNVALE_NET_HTTP_CLIENT_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/http/message_parser.hpp>
#include <buckthornvale/net/clock.hpp>
#include <buckthornvale/net/tcp_stream.hpp>

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::net
{

//! How a call failed.
enum class call_failure
{
    not_sent,   //!< the peer has seen no byte of the request
    no_answer,  //!< sent; nothing of an answer came
    broken_off, //!< the answer broke off midway
    timed_out   //!< no end within the time given
};

//! Takes the answer of one call.
class answer_handler
{
public:
    virtual ~answer_handler() = default;

    //! False when the answer belongs to another request: it is dropped, and
    //! the next one on the connection is awaited.
    virtual bool on_answer_head(http::response_head const& head) = 0;
    virtual void on_answer_body(std::string_view bytes) = 0;
    virtual void on_answer_end() = 0;

    //! `reset` tells that the peer ended the connection.
    virtual void on_answer_failed(call_failure failure,
                                  bool connection_lost) = 0;
};

using call_id = std::uint64_t;

struct call_options
{
    duration connect_timeout = std::chrono::milliseconds(400);
    duration timeout = std::chrono::seconds(30); //!< of the whole call

    //! A kept connection that was idle longer is not used. The peer may have
    //! dropped it, and a request that cannot be repeated would be lost.
    duration max_idle = std::chrono::seconds(60);

    //! False for a connection that serves this call alone.
    bool keep_connection = true;
};

//! Calls HTTP/1.1 servers over kept connections, one call at a time on each.
class http_client
{
public:
    http_client(asio::io_context& loop, clock_function clock);
    ~http_client();

    //! Starts a call. Exactly one of `on_answer_end` and `on_answer_failed`
    //! follows, never from within this function, unless it is cancelled. The
    //! handler has to stay until then.
    call_id call(std::string const& address, std::string head,
                 std::shared_ptr<std::string const> body,
                 call_options const& options, answer_handler& handler);

    //! The same with a handler that lives until its call has ended.
    call_id call(std::string const& address, std::string head,
                 std::shared_ptr<std::string const> body,
                 call_options const& options,
                 std::shared_ptr<answer_handler> handler);

    //! Closes the connection of the call; the handler hears nothing more.
    void cancel(call_id call);

    //! Back pressure of the reader of an answer.
    void pause(call_id call);
    void resume(call_id call);

    //! Ends calls and idle connections whose time has passed.
    void check_times(time_point now);

    //! Closes the idle connections to the address.
    void forget(std::string const& address);

private:
    class connection;

    struct idle_connection
    {
        std::shared_ptr<connection> http_connection;
        time_point idle_since{};
        time_point expires_at{};
    };

    void keep_idle(std::shared_ptr<connection> http_connection,
                   duration idle_timeout);
    void remove_idle(connection const* http_connection);
    void remove_call(call_id call);
    std::shared_ptr<connection> take_idle(std::string const& address,
                                          duration max_idle);

    asio::io_context& loop_;
    clock_function clock_;
    call_id next_call_ = 1;
    std::map<call_id, std::shared_ptr<connection>> calls_;
    std::map<std::string, std::vector<idle_connection>> idle_;
};

} // namespace buckthornvale::net

#endif
