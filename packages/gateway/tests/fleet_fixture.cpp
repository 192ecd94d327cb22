#include "fleet_fixture.hpp"

#include <buckthornvale/gateway/store/store_timing.hpp>

#include <chrono>

namespace buckthornvale::gateway
{

using namespace std::chrono_literals;

recording_caller::recording_caller(asio::io_context& loop, std::uint16_t port)
{
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    stream_ = std::make_shared<net::tcp_stream>(std::move(socket));
    stream_->attach(*this);
    stream_->start();
}

recording_caller::~recording_caller()
{
    stream_->detach();
    stream_->close();
}

fleet_fixture::fleet_fixture()
{
    put_manifest(1);
}

void fleet_fixture::put_manifest(int version, bool with_extra_route)
{
    using decision::gateway::request_kind;
    std::vector<standins::fleet_platform::route_plan> routes = {
        {"/book/", request_kind::at_most_once, "plain", 1, false, {}},
        {"/read/", request_kind::idempotent, "plain", 2, false, {}},
        {"/stream/", request_kind::stream, "engine", 1, false, {}},
        {"/resume/", request_kind::stream, "engine", 2, true, {}},
        {"/staged/", request_kind::stream, "engine", 1, false, "stage"}};
    if (with_extra_route)
        routes.push_back(
            {"/extra/", request_kind::idempotent, "plain", 1, false, {}});
    auto manifest = standins::fleet_platform::manifest_of(version, routes);
    if (cold_requests_per_s)
        for (auto& it : manifest["services"])
            if (it["name"] == "plain")
                it["coldPerS"] = *cold_requests_per_s;
    object_store.put_manifest(std::move(manifest));
}

std::unique_ptr<fleet_fixture::runner>
fleet_fixture::add_runner(std::string const& id, std::string const& service)
{
    auto out = std::make_unique<runner>(loop, id);
    object_store.put_runner(id, out->entry(service));
    return out;
}

std::unique_ptr<gateway_process>
fleet_fixture::start_gateway(std::string const& name)
{
    return start_gateway(name, object_store);
}

std::unique_ptr<gateway_process>
fleet_fixture::start_gateway(std::string const& name, store& used_store)
{
    platform::node_settings settings;
    settings.vm_name = name;
    settings.address = "127.0.0.1";
    settings.failure_domain = "north";
    settings.caller_endpoint = {"127.0.0.1", reserve_port()};
    settings.readiness_endpoint = {"127.0.0.1", reserve_port()};
    settings.first_peer_port = reserve_port();
    settings.store_endpoint = {"127.0.0.1",
                               store_port.value_or(used_store.port())};
    settings.link_mbps = link_mbps;
    settings.cpu_share = 1;
    settings.memory_bytes = 125'829'120;
    settings.settle_time = settle_time;
    settings.drain_timeout = drain_timeout;
    settings.grace_period = 8s;
    settings.runner_heartbeat_interval = 1200ms;
    settings.retry_budget_ratio = 0.2;
    settings.retry_budget_slack = 40;
    settings.retry_budget_window = 10s;
    settings.first_start = true;
    if (cold_requests_per_s)
    {
        settings.cold_rate_factor = 1.5;
        settings.cold_slack = 5;
    }
    if (evacuation_timeout)
        settings.evacuation_timeout = *evacuation_timeout;
    callers_port = settings.caller_endpoint.port;
    peer_port = settings.first_peer_port;
    auto const members = used_store.members();
    constexpr int no_log = -1;
    auto out = std::make_unique<gateway_process>(
        loop, settings, std::hash<std::string>()(name) + peer_port, no_log);
    out->start();
    EXPECT_TRUE(run_until([&] { return used_store.members() > members; }));
    // Wait until the gateway has also received the lists.
    run_for(400ms);
    return out;
}

void fleet_fixture::wait_for_runners()
{
    platform::node_settings settings;
    settings.drain_timeout = drain_timeout;
    auto const pause = gateway::store::runner_watch_timing(settings).pause;
    run_for(std::chrono::duration_cast<std::chrono::milliseconds>(pause) +
            200ms);
}

std::uint16_t fleet_fixture::reserve_port()
{
    asio::ip::tcp::socket socket(loop, asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind({asio::ip::make_address("127.0.0.1"), 0});
    auto const port = socket.local_endpoint().port();
    reserved_ports_.push_back(std::move(socket));
    return port;
}

bool fleet_fixture::run_until(std::function<bool()> const& condition)
{
    auto const deadline = std::chrono::steady_clock::now() + 10s;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        loop.restart();
        loop.run_one_for(20ms);
    }
    return true;
}

void fleet_fixture::run_for(std::chrono::milliseconds time)
{
    auto const deadline = std::chrono::steady_clock::now() + time;
    run_until([&] { return std::chrono::steady_clock::now() >= deadline; });
}

std::string fleet_fixture::request(std::string const& method,
                                   std::string const& path,
                                   std::string const& body,
                                   std::string const& pieces)
{
    last_request_id = "id-" + std::to_string(++request_count);
    return standins::fleet_platform::text_of(
        {last_request_id, method, path, body, pieces});
}

std::string fleet_fixture::exchange(std::string const& text)
{
    recording_caller caller(loop, callers_port);
    caller.send(text);
    auto const complete = [&]
    {
        auto const head = caller.received.find("\r\n\r\n");
        if (caller.ended)
            return true;
        if (head == std::string::npos)
            return false;
        auto const length = caller.received.find("Content-Length: ");
        if (length == std::string::npos)
            return caller.received.find("\r\n0\r\n\r\n") != std::string::npos;
        auto const n = std::stoul(caller.received.substr(length + 16));
        return caller.received.size() >= head + 4 + n;
    };
    EXPECT_TRUE(run_until(complete)) << caller.received;
    return caller.received;
}

} // namespace buckthornvale::gateway
