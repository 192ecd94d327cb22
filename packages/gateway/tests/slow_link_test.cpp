#include "fleet_fixture.hpp"
#include <buckthornvale/gateway/peer/peer_sender.hpp>
#include <buckthornvale/gateway/transfer_time.hpp>

#include <standins/fleet_platform/slow_link.hpp>

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using standins::fleet_platform::slow_link;
using std::chrono::steady_clock;

constexpr double bytes_per_mbit = 1e6 / 8;

//! Gateways on slow links, and manifests that take a while on them.
class slow_link_fleet : public fleet_fixture
{
protected:
    //! Makes the gateways that are started next reach the store over a link.
    void use_link(double mbps)
    {
        link_mbps = mbps;
        store_link.emplace(loop, object_store.port(), mbps * bytes_per_mbit);
        store_port = store_link->port();
    }

    static std::string path_added_by(int version)
    {
        return "/added-by/" + std::to_string(version) + "/";
    }

    void put_large_manifest(int version, std::size_t bytes)
    {
        using decision::gateway::request_kind;
        constexpr std::size_t bytes_per_route = 176;
        std::vector<standins::fleet_platform::route_plan> routes = {
            {path_added_by(version),
             request_kind::idempotent,
             "plain",
             1,
             false,
             {}}};
        while (routes.size() < bytes / bytes_per_route)
            routes.push_back({"/filler/" + std::to_string(routes.size()) + "/",
                              request_kind::idempotent,
                              "plain",
                              1,
                              false,
                              {}});
        object_store.put_manifest(
            standins::fleet_platform::manifest_of(version, routes));
    }

    bool serves_route_of(int version)
    {
        return contains(
            exchange(request("GET", path_added_by(version) + "x", "")),
            "200 OK");
    }

    bool serves_route_within(int version, std::chrono::milliseconds time)
    {
        auto const end = steady_clock::now() + time;
        while (steady_clock::now() < end)
        {
            if (serves_route_of(version))
                return true;
            run_for(50ms);
        }
        return false;
    }

    std::unique_ptr<runner> plain = add_runner("plain-1", "plain");
    std::optional<slow_link> store_link;
    std::unique_ptr<gateway_process> gateway;
};

struct missed_changes
{
    char const* name;
    double mbps;
    std::size_t bytes; //!< of each version
    int versions;
};

void PrintTo(missed_changes const& it, std::ostream* out)
{
    *out << it.name;
}

class slow_store : public slow_link_fleet,
                   public testing::WithParamInterface<missed_changes>
{
};

// A VM that the store had turned away asked for all versions that it had missed
// and gave each answer up after a second: it never caught up.
TEST_P(slow_store, is_caught_up_with_after_an_outage)
{
    auto const& plan = GetParam();
    use_link(plan.mbps);
    put_large_manifest(2, plan.bytes);
    gateway = start_gateway("vm-0");
    ASSERT_TRUE(serves_route_within(2, 8s));
    object_store.set_down(true);
    run_for(1s);
    int version = 2;
    for (int n = 0; n < plan.versions; ++n)
    {
        put_large_manifest(++version, plan.bytes);
        run_for(300ms);
    }
    object_store.set_down(false);
    EXPECT_TRUE(serves_route_within(version, settle_time));
}

// A VM could not start where the list took longer than its timeout.
TEST_P(slow_store, is_read_at_a_start)
{
    auto const& plan = GetParam();
    use_link(plan.mbps);
    put_large_manifest(2, plan.bytes * 3);
    gateway = start_gateway("vm-0");
    EXPECT_TRUE(serves_route_within(2, 9s));
}

INSTANTIATE_TEST_SUITE_P(
    of, slow_store,
    testing::Values(missed_changes{"six_versions", 10, 420'000, 6},
                    missed_changes{"two_versions", 10, 900'000, 2},
                    missed_changes{"many_versions", 10, 100'000, 30},
                    missed_changes{"a_slower_link", 4, 300'000, 5},
                    missed_changes{"one_version", 2, 380'000, 1}));

// Versions that come faster than the link carries them left the VM ever further
// behind.
TEST_F(slow_link_fleet, follows_changes_that_are_faster_than_its_link)
{
    use_link(4);
    put_large_manifest(2, 250'000);
    gateway = start_gateway("vm-0");
    int version = 2;
    for (int n = 0; n < 20; ++n)
    {
        put_large_manifest(++version, 250'000);
        run_for(250ms);
    }
    EXPECT_TRUE(serves_route_within(version, 2s));
}

// One that falls silent within an answer must be noticed as soon as one that
// does not begin.
TEST_F(slow_link_fleet, notices_a_connection_that_falls_silent_in_an_answer)
{
    use_link(10);
    put_large_manifest(2, 420'000);
    gateway = start_gateway("vm-0");
    ASSERT_TRUE(serves_route_within(2, 8s));
    auto const before = store_link->received();
    put_large_manifest(3, 420'000);
    ASSERT_TRUE(
        run_until([&] { return store_link->received() > before + 100'000; }));
    store_link->silence_connections();
    EXPECT_TRUE(serves_route_within(3, 2500ms));
}

// A VM that only the store does not reach gave up the manifest of another one
// after half a second, whatever its size.
TEST_F(slow_link_fleet, reads_a_large_manifest_from_another_vm)
{
    constexpr double mbps = 4;
    put_large_manifest(2, 400'000);
    auto const other = start_gateway("vm-0");
    slow_link peer_link(loop, peer_port, mbps * bytes_per_mbit);
    use_link(mbps);
    gateway = start_gateway("vm-1");
    ASSERT_TRUE(serves_route_within(2, 8s));
    object_store.move_member("vm-0",
                             "127.0.0.1:" + std::to_string(peer_link.port()));
    // Longer than the pause between two watches of the members.
    run_for(2s);
    store_link->set_cut(true);
    run_for(500ms);
    put_large_manifest(3, 400'000);
    EXPECT_TRUE(serves_route_within(3, 4s));
}

// A VM counted as unreachable while messages to it were on a slow link, and the
// same messages went to another one.
TEST_F(slow_link_fleet, delivers_many_messages_over_a_slow_link)
{
    namespace model = decision::gateway;
    gateway = start_gateway("vm-0");
    slow_link peer_link(loop, peer_port, 2 * bytes_per_mbit);
    net::http_client client(loop, net::steady_now);
    bool answered = false;
    std::size_t undelivered = 0;
    platform::node_settings settings;
    peer::peer_sender sender(
        client, "vm-1", 1, transfer_pace_of(settings),
        {[&](std::string const&, std::uint64_t) { answered = true; },
         [&](std::string const&, std::vector<peer::peer_message> lost)
         { undelivered = lost.size(); }});
    model::submit_pieces message;
    for (std::uint32_t n = 0; n < 3000; ++n)
    {
        model::piece it;
        it.request_id = "id-" + std::to_string(n);
        it.service = "stage";
        it.inputs = {std::string(60, 'h')};
        message.pieces.push_back(std::move(it));
    }
    sender.send("vm-0", "127.0.0.1:" + std::to_string(peer_link.port()),
                message);
    auto const started_at = steady_clock::now();
    EXPECT_TRUE(run_until(
        [&]
        {
            client.check_times(net::steady_now());
            return answered || undelivered > 0;
        }));
    EXPECT_TRUE(answered);
    EXPECT_EQ(undelivered, 0U);
    // Or the link would not have mattered.
    EXPECT_GT(steady_clock::now() - started_at, 600ms);
}

} // namespace
} // namespace buckthornvale::gateway
