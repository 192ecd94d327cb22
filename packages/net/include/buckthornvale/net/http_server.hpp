#ifndef BUCKTHORNVALE_NET_HTTP_SERVER_HPP
#define BUCKTHORNVALE_NET_HTTP_SERVER_HPP

#include <buckthornvale/http/message_parser.hpp>
#include <buckthornvale/net/clock.hpp>
#include <buckthornvale/net/connection_choice.hpp>
#include <buckthornvale/net/memory_budget.hpp>
#include <buckthornvale/net/tcp_stream.hpp>
#include <buckthornvale/net/timer.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornvale::net
{

class server_connection;

//! Timeouts and size limits that bound the resources a client can use.
struct server_limits
{
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;

    //! Copies of a body that the handler makes beside the one it receives.
    std::size_t body_copies = 1;

    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    //! From the first to the last byte of a request.
    duration receive_timeout = std::chrono::seconds(60);

    //! Maximum time without progress while sending queued bytes to a client.
    duration send_timeout = std::chrono::seconds(10);

    std::size_t max_connections = std::numeric_limits<std::size_t>::max();

    //! At `max_connections`, another connection is ended for a new one if its
    //! client waits or reads slowly. Otherwise the new one is rejected.
    bool replace_connections = false;
};

//! Reason for closing a connection without passing a request to the handler.
enum class rejection
{
    malformed,
    header_too_large,
    body_too_large,
    header_too_slow,
    body_too_slow,
    too_many_connections,
    out_of_memory //!< what clients may hold together is used up
};

//! Response sent to the client of a rejected connection.
struct rejection_answer
{
    int status = 400;
    std::string content_type; //!< empty when there is no body
    std::string body;
    std::string retry_after = {}; //!< seconds; empty for none
};

//! Response with the status for the reason and no body.
rejection_answer default_rejection(rejection reason);

//! Handles the requests of an http_server. Each request gets exactly one
//! response, which may be sent later, unless the client disconnects first.
class request_handler
{
public:
    virtual ~request_handler() = default;

    //! A complete request was received. The body may be moved from.
    virtual void on_request(server_connection& from, http::request_head& head,
                            std::string& body) = 0;

    //! The client disconnected, or stopped reading, before its response was
    //! complete.
    virtual void on_caller_left(server_connection& from) = 0;

    //! All queued bytes were sent; more of the response may be queued.
    virtual void on_drained(server_connection& from) = 0;

    //! Bytes of a client were read and dropped, because its connection is being
    //! closed. `since_close` is the time since the closing began.
    virtual void on_discarded(server_connection&, std::size_t /*bytes*/,
                              duration /*since_close*/)
    {
    }

    //! The connection is about to be ended, because others need the memory or
    //! the place that it holds.
    virtual void on_ended_for_others(server_connection&, std::size_t /*bytes*/)
    {
    }

    //! Chooses the response to a rejected connection. With nullopt the
    //! connection is closed without a response.
    virtual std::optional<rejection_answer> on_rejected(rejection reason)
    {
        return default_rejection(reason);
    }
};

using limits_function = std::function<server_limits()>;

class http_server;

//! One client connection. It handles one request at a time and keeps reading
//! meanwhile, so that it detects when the client disconnects.
class server_connection final : public tcp_stream::handler,
                                public http::message_sink
{
public:
    server_connection(http_server& server, std::uint64_t id,
                      asio::ip::tcp::socket socket);
    ~server_connection() override;

    void start();

    //! Sends the response for the reason and closes the connection.
    void reject(rejection reason);

    std::uint64_t id() const { return id_; }

    //! Requests received so far on this connection, the current one included.
    std::uint64_t requests_received() const { return requests_received_; }

    //! Address of the client; unspecified after the connection has ended.
    asio::ip::address remote_address() const;

    //! Sends a complete response. `head` holds the status line and headers. The
    //! framing and connection headers and the empty line are added here.
    void answer(std::string head, std::string_view body);

    //! Starts a response whose body follows in parts.
    void start_answer(std::string head);
    void send_part(std::string_view bytes);
    void end_answer();

    //! Aborts the response in a way that the client recognises as incomplete.
    void abort();

    //! Response bytes that the socket has not accepted yet.
    std::size_t queued() const { return stream_->queued(); }

    //! Closes the connection after the current response, or immediately when no
    //! request is in progress. A new connection may send its first request
    //! for a short time.
    void close_after_response();

    //! What the connection holds, if it may be ended for others: it is idle,
    //! its request is not complete, or its client has stopped taking the
    //! response or has sent more ahead than is held.
    std::optional<connection_load> load(time_point now) const;

    //! True when a request may have arrived on the idle connection.
    bool has_unread_request() const;

    //! Rejects an incomplete request; otherwise closes the connection.
    void end_for_others();

    //! Closes the connection at once.
    void close_now();

    //! Counts nothing more, because the server has removed the connection.
    void release_memory();

    //! Closes or rejects the connection when a timeout has expired by `now`.
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
        lingering //!< response sent; waits for the client to close
    };

    void parse(std::string_view bytes);
    void parse_held_input();
    void go_on_reading();
    bool is_idle() const;
    void finish_response();
    void close_gracefully();
    void close_idle();
    void close_stream();
    void hold(std::string_view bytes);
    bool can_parse() const;
    void admit_body();
    std::size_t reserve_beside(std::size_t body_bytes) const;
    void count_memory();
    void note_progress(std::size_t bytes);
    void restart_progress();
    void check_receive_timeouts(server_limits const& limits, time_point now);
    bool is_send_stalled(server_limits const& limits, time_point now);
    void append_connection_headers(std::string& head) const;

    http_server& server_;
    std::uint64_t const id_;
    std::uint64_t requests_received_ = 0;
    std::shared_ptr<tcp_stream> stream_;
    http::message_parser parser_;
    std::string body_;
    std::size_t max_body_bytes_ = 0; //!< length of the body, or its limit
    //! Received and not parsed yet. While there are any, later bytes are added
    //! here, so that all are parsed in the order of their arrival.
    std::string held_input_;
    state state_ = state::reading;
    bool keep_alive_ = true;
    bool chunked_ = false;
    //! The response has neither length nor chunks and ends with the connection.
    bool ends_at_close_ = false;
    bool response_started_ = false;
    bool body_admitted_ = false;
    bool expects_continue_ = false;
    bool body_length_known_ = false;
    bool removed_ = false;
    bool close_after_response_ = false;

    //! Start of the current state, or of the current request while reading.
    time_point phase_start_{};

    //! While lingering: when bytes were last dropped, or the start.
    time_point last_discarded_{};

    //! Idle timeout when the connection became idle. The client may rely on it
    //! although a shorter one holds by now.
    duration idle_timeout_;

    //! Total sent when is_send_stalled last saw progress, and the time of that.
    std::uint64_t last_bytes_sent_ = 0;
    time_point last_send_progress_{};

    //! Time at which the client last made progress (it sent or took a number of
    //! bytes, or a message began), and the bytes since then.
    time_point progress_at_{};
    std::size_t bytes_since_progress_ = 0;

    memory_budget::charge charge_;
};

//! Accepts connections on one listening address.
class http_server
{
public:
    //! The connections are charged to the budget; at its end, those that hold
    //! the most for the longest time are ended first.
    http_server(asio::io_context& loop, request_handler& handler,
                limits_function limits, clock_function clock,
                std::shared_ptr<memory_budget> memory =
                    std::make_shared<memory_budget>());
    ~http_server();

    //! Throws asio::system_error when it cannot listen on the address.
    void listen(std::string const& address, std::uint16_t port);

    //! Listening port, for tests that pass port 0 to `listen`.
    std::uint16_t port() const;

    //! Accepts what is pending, then no further connections.
    void stop_listening();

    //! Closes each connection after its next response.
    void announce_end() { draining_ = true; }

    //! Closes all idle connections, and the others after their current
    //! response.
    void finish_all();

    //! Ends connections whose timeouts have expired. A caller whose loop may be
    //! delayed passes a time until which it has read the input, as `now`.
    void check_limits(time_point now);

    std::size_t connections() const { return connections_.size(); }

    //! Number of connections whose request is still in progress.
    std::size_t serving() const;

    server_connection* find(std::uint64_t id);

private:
    friend class server_connection;

    void accept();
    void add_connection(asio::ip::tcp::socket socket);
    void remove(std::uint64_t id);
    std::shared_ptr<server_connection> choose_connection_to_end();
    bool can_fit(server_connection const& asker, std::size_t bytes) const;
    bool end_connections_for(server_connection const* asker, std::size_t bytes);
    bool make_room_for(server_connection& it, std::size_t bytes);
    void make_room_later();
    //! Evicts a connection so that a new one stays below the limit. Closes it
    //! at once, also while its refusal is being sent.
    void evict_for_new_connection();

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    timer accept_retry_timer_; //!< after a failed accept
    request_handler& handler_;
    limits_function limits_;
    clock_function clock_;
    std::shared_ptr<memory_budget> memory_;
    bool making_room_later_ = false;
    bool draining_ = false;
    std::uint64_t next_id_ = 1;
    //! Expires with the server, for handlers that are still queued then.
    std::shared_ptr<void> lifetime_ = std::make_shared<char>();
    std::unordered_map<std::uint64_t, std::shared_ptr<server_connection>>
        connections_;
};

} // namespace buckthornvale::net

#endif
