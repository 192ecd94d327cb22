#ifndef BUCKTHORNVALE_GATEWAY_TESTS_FLEET_FIXTURE_HPP
#define BUCKTHORNVALE_GATEWAY_TESTS_FLEET_FIXTURE_HPP

#include <buckthornvale/gateway/gateway_process.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <standins/fleet_platform/caller.hpp>
#include <standins/fleet_platform/manifest.hpp>
#include <standins/fleet_platform/runner_standin.hpp>
#include <standins/fleet_platform/store_standin.hpp>
#include <string>

namespace buckthornvale::gateway
{

inline bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

//! A caller with one connection that records all bytes it receives.
class recording_caller final : public net::tcp_stream::handler
{
public:
    recording_caller(asio::io_context& loop, std::uint16_t port);
    ~recording_caller() override;

    void send(std::string_view bytes) { stream_->write(bytes); }
    void leave() { stream_->close(); }

    std::string received;
    bool ended = false;

    void on_bytes(std::string_view bytes) override { received += bytes; }
    void on_end(asio::error_code) override { ended = true; }
    void on_written() override {}

private:
    std::shared_ptr<net::tcp_stream> stream_;
};

//! Production gateways on one event loop with stand-ins for the store and the
//! runners.
class fleet_fixture : public testing::Test
{
protected:
    fleet_fixture();

    //! Bounds in the settings of the gateways.
    static constexpr std::chrono::seconds settle_time{3};
    static constexpr std::chrono::seconds drain_timeout{2};

    using runner = standins::fleet_platform::runner_standin;
    using store = standins::fleet_platform::store_standin;

    std::unique_ptr<runner> add_runner(std::string const& id,
                                       std::string const& service);
    std::unique_ptr<gateway_process> start_gateway(std::string const& name);
    std::unique_ptr<gateway_process> start_gateway(std::string const& name,
                                                   store& used_store);

    //! Writes a manifest with the given version and the routes of all tests.
    void put_manifest(int version, bool with_extra_route = false);

    //! Runs the loop until the condition holds. Returns false after ten
    //! seconds.
    bool run_until(std::function<bool()> const& condition);

    void run_for(std::chrono::milliseconds time);

    //! Runs until the gateways have learned of runners that were added.
    void wait_for_runners();

    //! Encodes a request with a new id.
    std::string request(std::string const& method, std::string const& path,
                        std::string const& body = {},
                        std::string const& pieces = {});

    //! Sends one request on a new connection and returns the complete response.
    std::string exchange(std::string const& text);

    asio::io_context loop;
    store object_store{loop};
    std::uint16_t callers_port = 0; //!< of the gateway started last
    std::uint16_t peer_port = 0;
    std::string last_request_id;
    int request_count = 0;
    //! Bound in the settings of the gateways that are started next.
    std::optional<std::chrono::seconds> evacuation_timeout;
    //! Port of a link to the store for gateways that are started next.
    std::optional<std::uint16_t> store_port;
    double link_mbps = 1000; //!< in the settings of gateways started next
    //! Limit of the plain service for cold runners, in the next manifest.
    std::optional<double> cold_requests_per_s;

private:
    //! Returns a port on which only gateways of this test can listen. It stays
    //! bound, or another process could get it before the gateway listens.
    std::uint16_t reserve_port();

    std::vector<asio::ip::tcp::socket> reserved_ports_;
};

} // namespace buckthornvale::gateway

#endif
