#ifndef BUCKTHORNVALE_GATEWAY_NET_HTTP_SERVER_HPP
#define BUCKTHORNVALE_GATEWAY_NET_HTTP_SERVER_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/gateway/manifest.hpp>
#include <buckthornvale/gateway/net/tcp_stream.hpp>
#include <buckthornvale/http/message_parser.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornvale::gateway::net
{

using decision::time_point;
using decision::gateway::caller_limits;

//! Gives the present time to the event loop.
using clock_function = std::function<time_point()>;

class server_connection;

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
};

//! Times and sizes that bound what a caller may send.
using limits_function = std::function<caller_limits()>;

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
    std::uint64_t id() const { return id_; }

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
    void finish_soon();

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
    void refuse(int status);
    void finish_answer();
    void close_gracefully();
    void close_now();
    void append_connection_headers(std::string& head) const;

    http_server& server_;
    std::uint64_t const id_;
    std::shared_ptr<tcp_stream> stream_;
    http::message_parser parser_;
    std::string body_;
    std::string ahead_; //!< bytes of the next request
    state state_ = state::reading;
    bool keep_alive_ = true;
    bool chunked_ = false;
    bool answer_started_ = false;
    bool finish_soon_ = false;
    time_point since_{}; //!< start of the state, or of the present request
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
    void announce_end() { finishing_ = true; }

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
    asio::steady_timer retry_; //!< of an accept that failed
    request_handler& handler_;
    limits_function limits_;
    clock_function clock_;
    bool finishing_ = false;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<server_connection>>
        connections_;
};

} // namespace buckthornvale::gateway::net

#endif
