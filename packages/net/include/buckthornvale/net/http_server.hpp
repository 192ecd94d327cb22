#ifndef BUCKTHORNVALE_NET_HTTP_SERVER_HPP
#define BUCKTHORNVALE_NET_HTTP_SERVER_HPP

#include <buckthornvale/http/message_parser.hpp>
#include <buckthornvale/net/clock.hpp>
#include <buckthornvale/net/tcp_stream.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornvale::net
{

class server_connection;

//! Times and sizes that bound what callers may send and hold.
struct server_limits
{
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    //! From the first byte of a request to its last.
    duration receive_timeout = std::chrono::seconds(60);

    //! Time in which a caller takes none of the bytes that wait for it.
    duration send_timeout = std::chrono::seconds(10);

    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

//! Why the server ends a connection without a request for its handler.
enum class rejection
{
    malformed,
    header_too_large,
    body_too_large,
    header_too_slow,
    body_too_slow,
    too_many_connections
};

//! What the caller of such a connection is told.
struct rejection_answer
{
    int status = 400;
    std::string content_type; //!< empty without a body
    std::string body;
};

//! Status and no body.
rejection_answer default_rejection(rejection reason);

//! Serves the requests of a server. Each request gets exactly one answer,
//! which may come later, unless the caller leaves first.
class request_handler
{
public:
    virtual ~request_handler() = default;

    //! A request was read whole. The body may be moved from.
    virtual void on_request(server_connection& from, http::request_head& head,
                            std::string& body) = 0;

    //! The caller closed the connection while its request was not answered.
    virtual void on_caller_left(server_connection& from) = 0;

    //! More of an answer may be queued.
    virtual void on_drained(server_connection& from) = 0;

    //! Nothing: the connection ends without an answer.
    virtual std::optional<rejection_answer> on_rejected(rejection reason)
    {
        return default_rejection(reason);
    }
};

using limits_function = std::function<server_limits()>;

class http_server;

//! One connection of a caller. It reads one request at a time and goes on
//! reading while that one is served, so that it notices when the caller leaves.
class server_connection final : public tcp_stream::handler,
                                public http::message_sink
{
public:
    server_connection(http_server& server, std::uint64_t id,
                      asio::ip::tcp::socket socket);
    ~server_connection() override;

    void start();

    //! Answers without reading a request, and ends.
    void reject(rejection reason);

    std::uint64_t id() const { return id_; }

    //! Address of the caller; unspecified when the connection has ended.
    asio::ip::address remote_address() const;

    //! Sends a whole answer. `head` holds the status line and headers without
    //! those of the connection and without the empty line.
    void answer(std::string head, std::string_view body);

    //! Starts an answer whose body follows in parts.
    void start_answer(std::string head);
    void send_part(std::string_view bytes);
    void end_answer();

    //! Breaks the answer off, so that it does not look complete.
    void abort();

    //! Bytes of answers that the caller has not taken yet.
    std::size_t queued() const { return stream_->queued(); }

    //! The connection ends after the present answer, or now when there is no
    //! request.
    void close_after_response();

    //! Ends what exceeds the limits at this time.
    void check_limits(time_point now);

    bool serving() const { return state_ == state::serving; }

    // tcp_stream::handler
    void on_bytes(std::string_view bytes) override;
    void on_end(asio::error_code ec) override;
    void on_written() override;

    // http::message_sink
    void on_head() override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;

private:
    enum class state
    {
        reading,
        serving,
        lingering //!< answered; waits for the caller to close
    };

    void parse(std::string_view bytes);
    void finish_response();
    void close_gracefully();
    void close_now();
    void check_receive_timeouts(server_limits const& limits, time_point now);
    bool is_send_stalled(server_limits const& limits, time_point now);
    void append_connection_headers(std::string& head) const;

    http_server& server_;
    std::uint64_t const id_;
    std::shared_ptr<tcp_stream> stream_;
    http::message_parser parser_;
    std::string body_;
    std::string pipelined_bytes_; //!< bytes of the next request
    state state_ = state::reading;
    bool keep_alive_ = true;
    bool chunked_ = false;
    bool response_started_ = false;
    bool close_after_response_ = false;
    time_point
        phase_start_{}; //!< start of the state, or of the present request
    std::uint64_t last_bytes_sent_ =
        0; //!< bytes that the caller had taken when seen
    time_point last_send_progress_{}; //!< time since when it has taken no more
};

//! Accepts connections on one address.
class http_server
{
public:
    http_server(asio::io_context& loop, request_handler& handler,
                limits_function limits, clock_function clock);
    ~http_server();

    //! Throws asio::system_error when the address cannot be used.
    void listen(std::string const& address, std::uint16_t port);

    //! Port in use; for tests that listen on port 0.
    std::uint16_t port() const;

    void stop_listening();

    //! From now on each answer ends its connection.
    void announce_end() { draining_ = true; }

    //! Ends all connections without a request; the others end with theirs.
    void finish_all();

    void check_limits(time_point now);

    std::size_t connections() const { return connections_.size(); }

    //! Connections with a request that is not answered.
    std::size_t serving() const;

    server_connection* find(std::uint64_t id);

private:
    friend class server_connection;

    void accept();
    void remove(std::uint64_t id);

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_; //!< of an accept that failed
    request_handler& handler_;
    limits_function limits_;
    clock_function clock_;
    bool draining_ = false;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<server_connection>>
        connections_;
};

} // namespace buckthornvale::net

#endif
