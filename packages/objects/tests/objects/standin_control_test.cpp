#include <buckthornvale/objects/objects/http_object_api.hpp>

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <platform/platform_server.hpp>

namespace buckthornvale::objects
{
namespace
{

using nlohmann::json;

// Tests the HTTP control interface of the stand-in, which scenarios with real
// processes use.
struct standin_control : testing::Test
{
    int post(char const* target, json const& body)
    {
        auto const result =
            control_client.Post(target, body.dump(), "application/json");
        return result ? result->status : 0;
    }

    json stats() { return json::parse(control_client.Get("/stats")->body); }

    standins::platform::platform_server server;
    int port = server.start(0);
    httplib::Client control_client{"127.0.0.1", port};
    http_object_api api{"127.0.0.1:" + std::to_string(port)};
};

// Guards against scenarios that pass without testing anything because their
// fault never took effect.
TEST_F(standin_control, sets_and_clears_each_fault)
{
    EXPECT_EQ(post("/faults", {{"outage", true}}), 200);
    EXPECT_EQ(api.get("a").status, call_status::unavailable);
    EXPECT_EQ(post("/faults", {{"outage", false}, {"lose_answers", true}}),
              200);
    EXPECT_EQ(api.put("a", 0, "1").status, call_status::unknown);
    EXPECT_EQ(post("/faults", {{"lose_answers", false}, {"compact", true}}),
              200);
    EXPECT_EQ(api.watch("", 1, std::chrono::hours(1)).status,
              call_status::compacted);
    EXPECT_EQ(post("/faults", {{"budget", {{"reads_per_second", 1e-6}}}}), 200);
    EXPECT_EQ(api.get("a").status, call_status::unavailable);
    EXPECT_EQ(post("/faults", {{"budget", json::object()}, {"delay_ms", 1}}),
              200);
    EXPECT_EQ(api.get("a").value.value, "1");
    EXPECT_EQ(server.gate().delay(), std::chrono::milliseconds(1));
    EXPECT_EQ(post("/faults", {{"outage", "yes"}}), 400);

    auto const server_stats = stats();
    EXPECT_EQ(server_stats["calls"], (json{{"get", 3},
                                           {"put", 1},
                                           {"delete", 0},
                                           {"list", 0},
                                           {"watch", 1},
                                           {"vms", 0}}));
    EXPECT_EQ(server_stats["refused_by_outage"], 1);
    EXPECT_EQ(server_stats["refused_by_budget"], 1);
    EXPECT_EQ(server_stats["lost_answers"], 1);
}

// Guards against scenarios that cannot add, drain or remove a VM.
TEST_F(standin_control, changes_the_list_of_vms)
{
    EXPECT_EQ(post("/vms", {{"id", "v-1"}, {"address", "10.0.0.1:1"}}), 200);
    EXPECT_EQ(post("/vms", {{"id", "r-1"}, {"role", "runner"}}), 200);
    EXPECT_EQ(post("/vms", {{"id", "v-1"}, {"state", "leaving"}}), 200);
    EXPECT_TRUE(api.vms().value[1].is_leaving);
    EXPECT_EQ(post("/vms", {{"id", "r-1"}, {"state", "gone"}}), 200);
    EXPECT_EQ(api.vms().value.size(), 1U);
    EXPECT_EQ(post("/vms", {{"vms", json::array({{{"id", "v-2"}}})}}), 200);
    EXPECT_EQ(api.vms().value[0].id, "v-2");
    EXPECT_EQ(post("/vms", json::array({1})), 400);
}

} // namespace
} // namespace buckthornvale::objects
