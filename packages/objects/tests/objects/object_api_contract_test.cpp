#include <buckthornvale/objects/objects/http_object_api.hpp>

#include <gtest/gtest.h>
#include <httplib.h>

#include <functional>
#include <future>
#include <platform/memory_object_api.hpp>
#include <platform/platform_server.hpp>
#include <string>
#include <thread>
#include <vector>

namespace buckthornvale::objects
{
namespace
{

using namespace std::chrono_literals;
namespace standin = standins::platform;

// Implementation of the object API under test, with access to its backing store
// and fault injection.
struct api_under_test
{
    virtual ~api_under_test() = default;
    virtual object_api& api() = 0;
    virtual standin::object_store& store() = 0;
    virtual standin::fault_gate& gate() = 0;
    virtual standin::vm_list& vms() = 0;
    virtual void refuse_connections() = 0;
};

struct http_api_under_test final : api_under_test
{
    object_api& api() override { return client; }
    standin::object_store& store() override { return server.store(); }
    standin::fault_gate& gate() override { return server.gate(); }
    standin::vm_list& vms() override { return server.vms(); }
    void refuse_connections() override { server.stop(); }

    standin::platform_server server;
    http_object_api client{"127.0.0.1:" + std::to_string(server.start(0))};
};

struct memory_api_under_test final : api_under_test
{
    object_api& api() override { return memory_api; }
    standin::object_store& store() override { return objects; }
    standin::fault_gate& gate() override { return faults; }
    standin::vm_list& vms() override { return list; }
    void refuse_connections() override { memory_api.set_refusing(true); }

    standin::object_store objects;
    standin::fault_gate faults;
    standin::vm_list list;
    standin::memory_object_api memory_api{objects, faults, list};
};

struct contract_case
{
    char const* name;
    void (*run)(api_under_test&);
};

// Guards against overwriting another writer's value.
void stale_writes_conflict(api_under_test& it)
{
    auto const created = it.api().put("settings/a", 0, "1");
    ASSERT_EQ(created.status, call_status::done);
    auto const stale_write = it.api().put("settings/a", 0, "2");
    EXPECT_EQ(stale_write.status, call_status::conflict);
    ASSERT_TRUE(stale_write.current);
    EXPECT_EQ(stale_write.current->version, created.version);
    EXPECT_EQ(stale_write.current->value, "1");
    auto const changed = it.api().put("settings/a", created.version, "3");
    EXPECT_GT(changed.version, created.version);
    auto const read = it.api().get("settings/a");
    EXPECT_EQ(read.value.value, "3");
    EXPECT_EQ(read.value.version, changed.version);
}

// Guards against reporting success for a conflict with a missing object.
void writes_to_missing_objects_conflict(api_under_test& it)
{
    EXPECT_EQ(it.api().get("settings/a").status, call_status::not_found);
    for (auto const& result :
         {it.api().put("settings/a", 7, "1"), it.api().remove("settings/a", 7)})
    {
        EXPECT_EQ(result.status, call_status::conflict);
        EXPECT_FALSE(result.current);
    }
}

// Guards against deletions that a watcher cannot order relative to writes.
void deletions_have_versions(api_under_test& it)
{
    auto const created = it.api().put("settings/a", 0, "1");
    auto const removed = it.api().remove("settings/a", created.version);
    ASSERT_EQ(removed.status, call_status::done);
    auto const watched = it.api().watch("settings/", created.version, 10s);
    ASSERT_EQ(watched.value.events.size(), 1U);
    EXPECT_TRUE(watched.value.events[0].is_delete);
    EXPECT_EQ(watched.value.events[0].changed.version, removed.version);
}

// Guards against paths or values that are altered in transit.
void values_are_preserved_byte_for_byte(api_under_test& it)
{
    std::string const value = "a = \"\xC3\xA9 \\\" & + %20\"\r\n\t#";
    it.api().put("settings/pools/a-b_c.d", 0, value);
    EXPECT_EQ(it.api().get("settings/pools/a-b_c.d").value.value, value);
}

// Guards against a path that names another object, or none, in a target.
void paths_are_preserved_byte_for_byte(api_under_test& it)
{
    for (auto const* path :
         {"settings/a&b", "settings/a+b", "settings/a#b", "settings/a%62",
          "settings/a b", "settings/a?b=c", "settings/a\r\nb",
          "settings/\xC3\xA9", "settings/a;b,c'd"})
    {
        auto const created = it.api().put(path, 0, path);
        ASSERT_EQ(created.status, call_status::done) << path;
        EXPECT_TRUE(it.store().get(path)) << path;
        EXPECT_EQ(it.api().get(path).value.value, path);
        EXPECT_TRUE(it.api().remove(path, created.version).is_done()) << path;
    }
    EXPECT_FALSE(it.store().get("settings/a"));
}

// Guards against an odd path at the end of a page that hides the next ones.
void lists_continue_behind_any_path(api_under_test& it)
{
    std::vector<std::string> const paths = {
        "settings/a b",  "settings/a#b",     "settings/a%62",
        "settings/a&b",  "settings/a+b",     "settings/a\r\nb",
        "settings/\x7F", "settings/\xC3\xA9"};
    for (auto const& path : paths)
        it.store().put(path, 0, path);
    auto const whole = list_all(it.api(), "settings/", 1);
    ASSERT_TRUE(whole.is_done());
    EXPECT_EQ(whole.value.items.size(), paths.size());
}

// Guards against retrying a value above 1 MB because its rejection is taken for
// a store fault.
void oversized_values_are_rejected(api_under_test& it)
{
    auto const result =
        it.api().put("settings/a", 0, std::string((1U << 20U) + 1, 'x'));
    EXPECT_EQ(result.status, call_status::rejected);
    EXPECT_TRUE(is_not_applied(result.status));
}

// Guards against losing or repeating an object at a page boundary.
void lists_are_paginated(api_under_test& it)
{
    for (auto const* path : {"settings/a", "settings/b", "settings/c", "x/y"})
        it.api().put(path, 0, path);
    auto const whole = list_all(it.api(), "settings/", 2);
    ASSERT_TRUE(whole.is_done());
    ASSERT_EQ(whole.value.items.size(), 3U);
    EXPECT_EQ(whole.value.items[2].path, "settings/c");
    EXPECT_EQ(whole.value.revision, it.store().revision());
}

// Guards against a watch that misses changes made before it was started.
void watches_resume_from_a_revision(api_under_test& it)
{
    auto const first = it.api().put("settings/a", 0, "1");
    it.api().put("other/b", 0, "2");
    auto const third = it.api().put("settings/c", 0, "3");
    auto const watched = it.api().watch("settings/", first.version, 10s);
    ASSERT_EQ(watched.value.events.size(), 1U);
    EXPECT_EQ(watched.value.events[0].changed.value, "3");
    EXPECT_EQ(watched.value.revision, third.version);
    auto const none = it.api().watch("settings/", third.version, 1ms);
    EXPECT_TRUE(none.is_done());
    EXPECT_TRUE(none.value.events.empty());
}

// Guards against a VM that keeps stale settings after a compaction.
void compacted_watches_report_it(api_under_test& it)
{
    auto const first = it.api().put("settings/a", 0, "1");
    it.store().compact();
    EXPECT_EQ(it.api().watch("settings/", first.version, 10s).status,
              call_status::compacted);
}

// Guards against taking a lost response for a write that had no effect.
void lost_responses_are_unknown(api_under_test& it)
{
    it.gate().set_lost_answers(1);
    auto const result = it.api().put("claims/1/2", 0, "nonce");
    EXPECT_EQ(result.status, call_status::unknown);
    EXPECT_FALSE(is_not_applied(result.status));
    EXPECT_EQ(it.api().get("claims/1/2").value.value, "nonce");
}

// Guards against treating a refused connection as an unknown outcome and
// reporting it to the caller as such (I3).
void refused_connections_are_not_sent(api_under_test& it)
{
    it.refuse_connections();
    EXPECT_EQ(it.api().put("claims/1/2", 0, "nonce").status,
              call_status::not_sent);
    EXPECT_EQ(it.api().get("claims/1/2").status, call_status::not_sent);
    EXPECT_FALSE(it.store().get("claims/1/2"));
}

// Guards against treating writes as unknown when the store is unavailable or
// its rate limit is exhausted.
void outages_and_spent_budgets_are_unavailable(api_under_test& it)
{
    it.gate().set_outage(true);
    EXPECT_EQ(it.api().put("settings/a", 0, "1").status,
              call_status::unavailable);
    EXPECT_EQ(it.api().watch("settings/", 0, 10s).status,
              call_status::unavailable);
    it.gate().set_outage(false);
    it.gate().set_budget({0., 1e-6});
    EXPECT_EQ(it.api().put("settings/a", 0, "1").status,
              call_status::unavailable);
    EXPECT_EQ(it.api().get("settings/a").status, call_status::not_found);
    EXPECT_EQ(it.gate().counts().refused_by_outage, 2U);
    EXPECT_EQ(it.gate().counts().refused_by_budget, 1U);
}

// Guards against a shutdown that blocks on a long poll.
void pending_watches_can_be_cancelled(api_under_test& it)
{
    auto waiting = std::async(
        std::launch::async,
        [&] { return it.api().watch("settings/", 0, std::chrono::hours(1)); });
    while (waiting.wait_for(1ms) != std::future_status::ready)
        it.api().cancel_watches();
    EXPECT_NE(waiting.get().status, call_status::done);
}

// Guards against taking an entry VM for a runner.
void vms_have_roles_and_states(api_under_test& it)
{
    auto const now = standin::vm_list::clock::now();
    it.vms().put({"r-1", "runner", "10.0.0.1:1", "", "Sfax", "leaving"}, now);
    it.vms().put({"v-1", "entry", "10.0.0.2:1", "10.0.0.2:2", "Sousse", "live"},
                 now);
    auto const vms = it.api().vms();
    ASSERT_EQ(vms.value.size(), 2U);
    EXPECT_EQ(vms.value[0].role, vm_role::runner);
    EXPECT_TRUE(vms.value[0].is_leaving);
    EXPECT_EQ(vms.value[1].role, vm_role::entry);
    EXPECT_EQ(vms.value[1].peer_address, "10.0.0.2:2");
    EXPECT_FALSE(vms.value[1].is_leaving);
}

// Guards against a stand-in whose VM list shows changes without the configured
// lag.
void vm_list_changes_are_delayed(api_under_test& it)
{
    it.vms().set_lag(std::chrono::hours(1));
    auto const now = standin::vm_list::clock::now();
    it.vms().put({"v-1", "entry", "", "", "", "live"},
                 now - std::chrono::hours(2));
    it.vms().put({"v-2", "entry", "", "", "", "live"}, now);
    EXPECT_EQ(it.api().vms().value.size(), 1U);
}

contract_case const cases[] = {
    {"stale_writes_conflict", &stale_writes_conflict},
    {"writes_to_missing_objects_conflict", &writes_to_missing_objects_conflict},
    {"deletions_have_versions", &deletions_have_versions},
    {"values_are_preserved_byte_for_byte", &values_are_preserved_byte_for_byte},
    {"paths_are_preserved_byte_for_byte", &paths_are_preserved_byte_for_byte},
    {"lists_continue_behind_any_path", &lists_continue_behind_any_path},
    {"oversized_values_are_rejected", &oversized_values_are_rejected},
    {"lists_are_paginated", &lists_are_paginated},
    {"watches_resume_from_a_revision", &watches_resume_from_a_revision},
    {"compacted_watches_report_it", &compacted_watches_report_it},
    {"lost_responses_are_unknown", &lost_responses_are_unknown},
    {"refused_connections_are_not_sent", &refused_connections_are_not_sent},
    {"outages_and_spent_budgets_are_unavailable",
     &outages_and_spent_budgets_are_unavailable},
    {"pending_watches_can_be_cancelled", &pending_watches_can_be_cancelled},
    {"vms_have_roles_and_states", &vms_have_roles_and_states},
    {"vm_list_changes_are_delayed", &vm_list_changes_are_delayed},
};

std::ostream& operator<<(std::ostream& out, contract_case const& it)
{
    return out << it.name;
}

class object_api_contract : public testing::TestWithParam<contract_case>
{
};

TEST_P(object_api_contract, holds_over_http)
{
    http_api_under_test it;
    GetParam().run(it);
}

TEST_P(object_api_contract, holds_in_memory)
{
    memory_api_under_test it;
    GetParam().run(it);
}

INSTANTIATE_TEST_SUITE_P(table, object_api_contract, testing::ValuesIn(cases),
                         [](auto const& it) { return it.param.name; });

// Guards against a list without end, at a server that ignores the cursor.
TEST(http_object_api, fails_a_list_that_does_not_advance)
{
    httplib::Server server;
    server.Get("/v1/list",
               [](httplib::Request const&, httplib::Response& response)
               {
                   response.set_content(
                       R"({"items":[{"path":"settings/a","version":1,)"
                       R"("value":"1"}],"next":"settings/a","revision":9})",
                       "application/json");
               });
    auto const port = server.bind_to_any_port("127.0.0.1");
    std::thread serving([&] { server.listen_after_bind(); });
    http_object_api client("127.0.0.1:" + std::to_string(port));
    EXPECT_TRUE(client.list("settings/", "", 1).is_done());
    EXPECT_EQ(client.list("settings/", "settings/a", 1).status,
              call_status::unknown);
    EXPECT_EQ(client.list("settings/", "settings/b", 1).status,
              call_status::unknown);
    server.stop();
    serving.join();
}

} // namespace
} // namespace buckthornvale::objects
