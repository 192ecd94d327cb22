#ifndef BUCKTHORNVALE_SERVING_HTTP_HTTP_FRONT_HPP
#define BUCKTHORNVALE_SERVING_HTTP_HTTP_FRONT_HPP

#include <buckthornvale/net/http_server.hpp>
#include <buckthornvale/net/loop_thread.hpp>
#include <buckthornvale/serving/http/front_target.hpp>
#include <buckthornvale/serving/http/request_sink.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <string>

namespace buckthornvale::serving::http
{

//! Limits on callers of the front unless its settings say otherwise.
net::server_limits default_front_limits();

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
    //! Callers that wait for a reply. The server's bound on connections has to
    //! be higher, so that health checks are answered.
    std::size_t max_waiting = 128;
    std::size_t max_pending_bytes =
        std::size_t{1024} * 1024; //!< of a stream whose caller does not read
    net::server_limits server = default_front_limits();
};

//! What the front asks its owner. Called on the thread of the front; must not
//! block.
struct front_callbacks
{
    std::function<bool()> ready;          //!< GET /readyz
    std::function<std::string()> metrics; //!< GET /metrics, Prometheus text
    std::function<std::string()> status;  //!< GET /v1/status, JSON text
    std::function<void()> drain;          //!< POST /v1/drain
    std::function<decision::wall_time()> wall_now;
};

//! HTTP server for callers and operators (design 4.1), on one event loop with
//! a thread of its own. Each request is handed to the sink, and its answer
//! comes back through `deliver`.
class http_front final : private net::request_handler
{
public:
    http_front(front_settings settings, front_callbacks callbacks,
               request_sink& sink);
    //! Stops accepting and waits for the requests in flight.
    ~http_front() override;
    http_front(http_front const&) = delete;
    http_front& operator=(http_front const&) = delete;

    //! Binds and serves; false when the address cannot be used.
    bool start();
    std::uint16_t port() const { return port_; }

    //! Hands a reply to its caller; false when the caller left. Thread-safe.
    bool deliver(decision::requests::send_token const& message);
    bool deliver(decision::requests::send_answer const& message);

    //! Callers that wait for a reply. Thread-safe.
    std::size_t waiting() const;

    //! First step of a stop, after the notice time: closes the listening
    //! socket and idle connections. Requests in flight go on. Thread-safe.
    void stop_accepting();
    //! Second step: waits until the last request in flight was answered.
    void finish();

private:
    //! A request that was submitted and has no answer yet.
    struct open_request
    {
        std::uint64_t connection = 0;
        std::string organisation;
        bool stream = false;
        bool is_query = false; //!< asks for the outcome of an earlier request
        bool started = false;  //!< the stream has its status
    };

    // net::request_handler
    void on_request(net::server_connection& from,
                    buckthornvale::http::request_head& head,
                    std::string& body) override;
    void on_caller_left(net::server_connection& from) override;
    void on_drained(net::server_connection&) override {}
    std::optional<net::rejection_answer>
    on_rejected(net::rejection reason) override;

    void serve_request(net::server_connection& from,
                       buckthornvale::http::request_head const& head,
                       std::string_view pipeline, std::string_view body);
    void serve_query(net::server_connection& from,
                     buckthornvale::http::request_head const& head,
                     std::string_view key);
    void serve_operator(net::server_connection& from,
                        buckthornvale::http::request_head const& head,
                        front_endpoint endpoint);
    std::optional<decision::request_id>
    open_session(net::server_connection& from, open_request value);
    void close_session(decision::request_id id);
    void refuse(net::server_connection& to, decision::error failure,
                std::string const& organisation,
                std::optional<int> status = std::nullopt);
    bool is_operator(net::server_connection const& from,
                     buckthornvale::http::request_head const& head) const;
    decision::request_id next_id();

    bool is_waiting(decision::request_id id) const;
    void send(decision::requests::send_token const& message);
    void send(decision::requests::send_answer const& message);
    void check_times(decision::time_point now);

    front_settings settings_;
    front_callbacks callbacks_;
    request_sink& sink_;
    std::uint16_t port_ = 0;
    bool started_ = false;

    mutable std::mutex mutex_;
    absl::flat_hash_set<decision::request_id> waiting_; //!< under the mutex

    // On the loop only.
    absl::flat_hash_map<decision::request_id, open_request> requests_;
    absl::flat_hash_map<std::uint64_t, decision::request_id> by_connection_;
    std::uint64_t counter_ = 0;
    bool stopping_ = false;
    std::promise<void> finished_;
    bool finish_told_ = false;

    net::loop_thread loop_;
    net::http_server server_;
};

} // namespace buckthornvale::serving::http

#endif
