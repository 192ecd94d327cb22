#ifndef BUCKTHORNVALE_NET_HTTP_CLIENT_HPP
#define BUCKTHORNVALE_NET_HTTP_CLIENT_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/http/message_parser.hpp>
#include <buckthornvale/net/answer_history.hpp>
#include <buckthornvale/net/call_progress.hpp>
#include <buckthornvale/net/clock.hpp>
#include <buckthornvale/net/tcp_stream.hpp>

#include <absl/types/span.h>
#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::net
{

//! Reason why a call failed.
enum class call_failure
{
    not_sent,   //!< no byte of the request was sent
    no_answer,  //!< sent, but no response was received
    broken_off, //!< the response was incomplete
    timed_out   //!< not complete in time
};

//! What the head of a response says about the call that waits for one.
enum class response_match
{
    expected, //!< it is the response to the call
    unnamed,  //!< it is taken for it, although it names no call
    other     //!< it names another call
};

//! Receives the response to one call.
class answer_handler
{
public:
    virtual ~answer_handler() = default;

    //! The client discards a response that names another call and waits for the
    //! next one. It closes the connection after an unnamed one, since the
    //! server may still work on the call.
    virtual response_match on_answer_head(http::response_head const& head) = 0;

    //! Returns false when the rest of the body is not wanted, for example
    //! because it is too large. The client then closes the connection and the
    //! call fails.
    virtual bool on_answer_body(std::string_view bytes) = 0;
    virtual void on_answer_end() = 0;

    //! `connection_lost` is true when the connection could not be made or was
    //! closed by the peer, and false after a timeout or a malformed response.
    virtual void on_answer_failed(call_failure failure,
                                  bool connection_lost) = 0;
};

using call_id = std::uint64_t;

//! Number of a connection of one client, never given out again.
using connection_number = std::uint64_t;

//! Calls of different lanes do not share connections. An answer that names no
//! call can then be taken for that to another call of its lane at most.
enum class call_lane
{
    general,
    stage_runs, //!< calls that compute results
    stage_frees //!< calls that free them
};

struct call_options
{
    duration connect_timeout = std::chrono::milliseconds(400);
    duration timeout = std::chrono::seconds(30); //!< see call_progress

    //! For messages of any size; not set: `timeout` bounds the whole call.
    std::optional<transfer_pace> pace = std::nullopt;

    //! Connections that were idle for longer are not reused. The peer may have
    //! closed them, and a request that must not be retried would be lost.
    duration max_idle = std::chrono::seconds(60);

    //! Connections that must not carry the call, because they carried an
    //! earlier send of the same request: a late copy of an answer to that one
    //! could not be told from the answer to this one. Read by `call` only.
    absl::Span<connection_number const> excluded_connections;

    call_lane lane = call_lane::general;

    //! False: use a new connection for this call and close it afterwards.
    bool keep_connection = true;
};

//! HTTP/1.1 client with a pool of persistent connections. Each connection
//! carries one call at a time.
class http_client
{
public:
    http_client(asio::io_context& loop, clock_function clock);
    ~http_client();

    //! Starts a call. An empty head, of a request that could not be encoded,
    //! fails it with call_failure::not_sent. Unless the call is cancelled,
    //! exactly one of `on_answer_end` and `on_answer_failed` is called, and
    //! never before this function returns. The handler must stay alive until
    //! then.
    call_id call(std::string const& address, std::string head,
                 std::shared_ptr<std::string const> body,
                 call_options const& options, answer_handler& handler);

    //! Same, but keeps the handler alive until the call has ended.
    call_id call(std::string const& address, std::string head,
                 std::shared_ptr<std::string const> body,
                 call_options const& options,
                 std::shared_ptr<answer_handler> handler);

    //! The connection that carries the call, which must not have ended.
    connection_number connection_of(call_id call) const;

    //! The history of that connection.
    std::shared_ptr<answer_history> history_of(call_id call) const;

    //! Closes the connection of the call. The handler is not called again.
    void cancel(call_id call);

    //! Applies back pressure: stops and resumes reading the response.
    void pause(call_id call);
    void resume(call_id call);

    //! Fails calls that have timed out and closes expired idle connections.
    //! The same holds for `now` as in http_server::check_limits.
    void check_times(time_point now);

    //! Closes all idle connections to the address.
    void forget(std::string const& address);

private:
    class connection;

    struct idle_connection
    {
        call_lane lane = call_lane::general;
        std::shared_ptr<connection> http_connection;
        time_point idle_since{};
        time_point expires_at{};
    };

    void keep_idle(std::shared_ptr<connection> http_connection,
                   duration idle_timeout);
    void remove_idle(connection const* http_connection);
    void remove_call(call_id call);
    std::shared_ptr<connection> take_idle(std::string const& address,
                                          call_options const& options);

    asio::io_context& loop_;
    clock_function clock_;
    call_id next_call_ = 1;
    connection_number next_connection_ = 1;
    std::map<call_id, std::shared_ptr<connection>> calls_;
    std::map<std::string, std::vector<idle_connection>> idle_;
};

} // namespace buckthornvale::net

#endif
