#ifndef BUCKTHORNVALE_SERVING_HTTP_HTTP_FRONT_HPP
#define BUCKTHORNVALE_SERVING_HTTP_HTTP_FRONT_HPP

#include <buckthornvale/serving/http/caller_session.hpp>
#include <buckthornvale/serving/http/connection_server.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace buckthornvale::serving::http
{

//! Settings of the HTTP front.
struct front_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; //!< 0: any free port
    //! Drawn at random when the process starts; part of every request id.
    std::uint64_t incarnation = 0;
    //! SHA-256 of the operator's bearer key, 64 hexadecimal digits. When it is
    //! empty, operator endpoints answer loopback callers only.
    std::string operator_key_sha256;
    //! Callers that wait for a reply; must be below server.threads, so that
    //! health checks find a thread.
    std::size_t max_waiting = 128;
    std::size_t max_pending_bytes =
        std::size_t{1024} * 1024; //!< tokens of one caller
    server_limits server;
};

//! What the front asks its owner. Called from many threads at once.
struct front_callbacks
{
    std::function<bool()> ready;          //!< GET /readyz
    std::function<std::string()> metrics; //!< GET /metrics, Prometheus text
    std::function<std::string()> status;  //!< GET /v1/status, JSON text
    std::function<void()> drain;          //!< POST /v1/drain
    std::function<decision::wall_time()> wall_now;
};

//! HTTP server for callers and operators (design 4.1). Each request is handed
//! to the sink, and its thread waits until the replies have been delivered.
class http_front
{
public:
    http_front(front_settings settings, front_callbacks callbacks,
               request_sink& sink);
    //! Stops accepting and waits for the requests in flight.
    ~http_front();
    http_front(http_front const&) = delete;
    http_front& operator=(http_front const&) = delete;

    //! Binds and serves on own threads; false when the address is taken.
    bool start();
    std::uint16_t port() const { return port_; }

    //! Hands a reply to its caller; false when the caller left. Thread-safe.
    bool deliver(decision::requests::send_token const& message);
    bool deliver(decision::requests::send_answer const& message);

    //! Callers that wait for a reply.
    std::size_t waiting() const { return replies_.size(); }

    //! First step of a stop, after the notice time: closes the listening
    //! socket and idle connections. Requests in flight go on.
    void stop_accepting();
    //! Second step: waits until the last request in flight was answered.
    void finish();

private:
    void add_caller_routes();
    void add_operator_routes();
    void handle_request(httplib::Request const&, httplib::Response&);
    void handle_outcome(httplib::Request const&, httplib::Response&);
    void handle_unrouted(httplib::Request const&, httplib::Response&);
    void answer_plain(caller_session& session, std::string const& organisation,
                      httplib::Response&);
    void answer_stream(std::shared_ptr<caller_session> const& session,
                       std::string const& organisation, httplib::Response&);
    std::shared_ptr<caller_session> open_session(std::string const&,
                                                 httplib::Response&);
    void refuse(decision::error failure, std::string const& organisation,
                httplib::Response&);
    bool is_operator(httplib::Request const&) const;
    decision::request_id next_id();

    front_settings settings_;
    front_callbacks callbacks_;
    request_sink& sink_;
    reply_table replies_;
    connection_server server_;
    std::atomic<std::uint64_t> counter_{0};
    std::uint16_t port_ = 0;
    std::thread listener_;
};

} // namespace buckthornvale::serving::http

#endif
