#include <buckthornvale/decision/gateway/crash_registry.hpp>
#include <buckthornvale/decision/gateway/manifest.hpp>
#include <buckthornvale/decision/gateway/member_table.hpp>
#include <buckthornvale/decision/gateway/refusal.hpp>
#include <buckthornvale/decision/gateway/retry_budget.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

TEST(manifest, finds_the_route_with_the_longest_prefix)
{
    manifest value;
    for (auto const* prefix : {"/", "/a/b/", "/a/"})
    {
        route it;
        it.name = prefix;
        it.host = "h";
        it.path_prefix = prefix;
        value.add_route(it);
    }
    EXPECT_EQ(value.find_route("h", "/a/b/c")->name, "/a/b/");
    EXPECT_EQ(value.find_route("h", "/a/x")->name, "/a/");
    EXPECT_EQ(value.find_route("h", "/x")->name, "/");
    EXPECT_EQ(value.find_route("other", "/a/"), nullptr);
}

// Retries of the whole fleet must not multiply the load of a failing service:
// in any window, all VMs together stay within the limit.
TEST(retry_budget, stays_within_the_bound_over_all_vms)
{
    constexpr std::size_t vm_count = 8;
    retry_budget_limits const limits{0.2, 56, 10s};
    std::vector<retry_budget> vms(vm_count, retry_budget(limits));
    std::vector<std::pair<time_point, int>> extras;
    std::vector<std::pair<time_point, int>> requests;
    for (int ms = 0; ms < 60'000; ms += 10)
    {
        auto const now = start + std::chrono::milliseconds(ms);
        int taken = 0;
        for (auto& vm : vms)
        {
            if (ms % 100 == 0)
                vm.count_request("s", now);
            for (int n = 0; n < 3; ++n)
                taken += vm.try_consume("s", vm_count, now) ? 1 : 0;
        }
        extras.emplace_back(now, taken);
        requests.emplace_back(now, ms % 100 == 0 ? int(vm_count) : 0);
    }
    auto const in_window = [](auto const& list, time_point end)
    {
        int sum = 0;
        for (auto const& it : list)
            if (it.first > end - 10s && it.first <= end)
                sum += it.second;
        return sum;
    };
    for (auto end = start + 10s; end <= start + 60s; end += 250ms)
        EXPECT_LE(in_window(extras, end), 0.2 * in_window(requests, end) + 56);
}

TEST(retry_budget, counts_each_service_separately)
{
    retry_budget budget({0, 1.4, 10s});
    EXPECT_TRUE(budget.try_consume("a", 1, start));
    EXPECT_FALSE(budget.try_consume("a", 1, start));
    EXPECT_TRUE(budget.try_consume("b", 1, start));
    EXPECT_TRUE(budget.try_consume("a", 1, start + 11s));
}

// Content that crashes one runner after the other is blocked. A few connection
// resets alone must not block it.
TEST(crash_registry, refuses_content_that_crashed_three_times)
{
    crash_registry crashes;
    for (int n = 0; n < 2; ++n)
        crashes.record_crash(7, start);
    EXPECT_FALSE(crashes.is_blocked(7));
    crashes.record_crash(7, start);
    EXPECT_TRUE(crashes.is_blocked(7));
    EXPECT_FALSE(crashes.is_blocked(8));
    EXPECT_TRUE(crashes.clear(7, start));
    EXPECT_FALSE(crashes.is_blocked(7));
}

// Content that came back every 130 s crashed three more runners each time.
TEST(crash_registry, counts_for_as_long_as_content_returns)
{
    crash_registry crashes;
    for (std::uint32_t n = 0; n < crash_registry::crash_limit; ++n)
    {
        auto const now = start + std::int64_t(n) * 1h;
        crashes.expire(now);
        crashes.record_crash(7, now);
    }
    crashes.expire(start + 100h);
    EXPECT_TRUE(crashes.is_blocked(7));
}

// What has to outlive all VMs is stored by those that saw a crash of it, so
// that crashes of sound content, and each content at all VMs, are no writes.
TEST(crash_registry, stores_repeated_crashes_that_this_vm_has_seen)
{
    crash_registry seen;
    seen.record_own_crash(7, start);
    EXPECT_TRUE(seen.to_store().empty());
    seen.record_crash(7, start);
    EXPECT_EQ(seen.to_store(), (std::vector<stored_crashes>{{7, 2}}));
    crash_registry told;
    for (int n = 0; n < 3; ++n)
        told.record_crash(7, start);
    EXPECT_TRUE(told.to_store().empty());
    seen.clear(7, start);
    EXPECT_TRUE(seen.to_store().empty());
}

TEST(crash_registry, takes_over_what_was_stored)
{
    crash_registry started;
    started.restore({{7, 3}}, true, start);
    started.restore({{8, 2}, {7, 2}}, false, start);
    EXPECT_TRUE(started.is_blocked(7));
    EXPECT_EQ(started.to_store(), (std::vector<stored_crashes>{{7, 3}}));
    started.record_own_crash(8, start);
    EXPECT_TRUE(started.is_blocked(8));
    // It was cleared here after the start.
    started.clear(7, start + 1s);
    started.restore({{7, 3}}, true, start + 2s);
    EXPECT_FALSE(started.is_blocked(7));
    EXPECT_EQ(started.to_store(), (std::vector<stored_crashes>{{8, 3}}));
}

TEST(crash_registry, stores_a_bounded_number_of_records)
{
    crash_registry crashes;
    for (std::uint64_t n = 0; n < 3 * crash_registry::max_stored_records; ++n)
        for (int i = 0; i < (n == 5 ? 3 : 2); ++i)
            crashes.record_own_crash(n, start);
    auto const records = crashes.to_store();
    EXPECT_EQ(records.size(), crash_registry::max_stored_records);
    EXPECT_EQ(std::count(records.begin(), records.end(), stored_crashes{5, 3}),
              1);
}

// A VM that starts anew takes over what the others know, without counting the
// same crash twice, and does not bring back what was cleared meanwhile.
TEST(crash_registry, takes_over_the_crashes_that_other_vms_know)
{
    crash_registry known;
    crash_registry started;
    for (std::uint32_t n = 0; n < crash_registry::crash_limit; ++n)
        known.record_crash(7, start);
    known.record_crash(8, start);
    auto const records = known.repeated_crashes(1min, start + 1s);
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].last_crash_age, 1s);
    EXPECT_TRUE(started.merge(records[0], start + 1s));
    EXPECT_TRUE(started.merge(records[0], start + 1s));
    EXPECT_TRUE(started.is_blocked(7));
    EXPECT_EQ(started.repeated_crashes(1min, start + 1s)[0].crashes,
              crash_registry::crash_limit);
    EXPECT_TRUE(started.repeated_crashes(1min, start + 2min).empty());
    EXPECT_TRUE(started.clear(7, start + 1s));
    EXPECT_FALSE(started.merge(records[0], start + 1s));
    EXPECT_FALSE(started.is_blocked(7));
}

// Sound content that was running on three runners when they ended was refused
// for good. Content that crashes runners must not get more than three sends.
TEST(crash_registry, lets_blocked_content_run_again_twice_at_most)
{
    crash_registry crashes;
    for (std::uint32_t n = 0; n < crash_registry::crash_limit; ++n)
        crashes.record_crash(7, start);
    EXPECT_FALSE(crashes.begin_retrial(7, start + 1min));
    int retrials = 0;
    for (auto now = start; now < start + 10h; now += 10s)
    {
        if (!crashes.begin_retrial(7, now))
            continue;
        ++retrials;
        EXPECT_FALSE(crashes.begin_retrial(7, now + 1s));
        crashes.record_crash(7, now);
    }
    EXPECT_EQ(retrials, 2);
    // A VM that starts waits as well.
    crash_registry started;
    started.restore({{7, 3}}, true, start);
    EXPECT_FALSE(started.begin_retrial(7, start + 1min));
    EXPECT_TRUE(started.begin_retrial(7, start + 11min));
    EXPECT_FALSE(started.begin_retrial(8, start + 11min));
}

TEST(crash_registry, shares_blocked_content_first)
{
    crash_registry crashes;
    for (std::uint64_t n = 0; n < 2 * crash_registry::max_shared_records; ++n)
        for (int i = 0; i < (n % 2 == 0 ? 2 : 3); ++i)
            crashes.record_crash(n, start);
    auto const records = crashes.repeated_crashes(1min, start);
    EXPECT_EQ(records.size(), crash_registry::max_shared_records);
    for (auto const& it : records)
        EXPECT_EQ(it.crashes, 3U);
}

TEST(crash_registry, is_bounded)
{
    crash_registry crashes;
    for (std::uint64_t n = 0; n < 3 * crash_registry::max_entries; ++n)
        crashes.record_crash(n, start);
    crashes.record_crash(1, start);
    EXPECT_FALSE(crashes.is_blocked(2));
}

// Single crashes of other content must not displace what is blocked.
TEST(crash_registry, forgets_content_with_few_crashes_first)
{
    crash_registry crashes;
    for (std::uint32_t n = 0; n < crash_registry::crash_limit; ++n)
        crashes.record_crash(7, start);
    for (std::uint64_t n = 0; n < 3 * crash_registry::max_entries; ++n)
        crashes.record_crash(1000 + n, start + 1s);
    EXPECT_TRUE(crashes.is_blocked(7));
}

std::vector<member> make_members(int n)
{
    std::vector<member> out;
    for (int i = 0; i < n; ++i)
    {
        member it;
        it.name = "vm-" + std::to_string(i);
        it.capacity = 0.25;
        out.push_back(it);
    }
    return out;
}

// If VMs chose different owners, each would batch only its own pieces.
TEST(member_table, all_vms_name_the_same_owner)
{
    auto const members = make_members(8);
    member_table a("vm-0");
    member_table b("vm-5");
    a.assign(members);
    b.assign(members);
    for (auto const* key : {"encoders", "retrievers", "rerankers"})
        EXPECT_EQ(a.owner(key, start), b.owner(key, start));
}

TEST(member_table, skips_an_unreachable_owner)
{
    member_table table("vm-0");
    table.assign(make_members(8));
    std::string key = "k";
    while (table.owner(key, start) == "vm-0")
        key += 'k';
    auto const former = table.owner(key, start);
    table.suspect(former, start);
    EXPECT_NE(table.owner(key, start), former);
    EXPECT_EQ(table.owner(key, start + member_table::suspicion_time), former);
    table.suspect(former, start);
    table.record_answer(former, 1, start);
    EXPECT_EQ(table.owner(key, start), former);
}

// A small VM must not schedule as much as a large one.
TEST(member_table, gives_more_keys_to_larger_vms)
{
    auto members = make_members(4);
    members[0].capacity = 0.5;
    member_table table("vm-0");
    table.assign(members);
    std::map<std::string, int> owned;
    for (int n = 0; n < 4000; ++n)
        ++owned[table.owner("key-" + std::to_string(n), start)];
    EXPECT_GT(owned["vm-0"], 10 * owned["vm-1"]);
}

// Pieces must not wait repeatedly for a VM that was removed permanently, and
// the list of members must not grow without bound.
TEST(member_table, removes_a_vm_that_stays_unreachable)
{
    member_table first("vm-0");
    member_table second("vm-1");
    for (auto* it : {&first, &second})
    {
        it->assign(make_members(3));
        it->suspect("vm-2", start);
        it->suspect("vm-2", start + 10s);
    }
    EXPECT_TRUE(first.members_to_remove(start + 20s).empty());
    EXPECT_EQ(first.members_to_remove(start + 31s),
              std::vector<std::string>{"vm-2"});
    // Only one VM reports the removal, as long as that VM is reachable.
    EXPECT_TRUE(second.members_to_remove(start + 31s).empty());
    second.suspect("vm-0", start + 31s);
    EXPECT_EQ(second.members_to_remove(start + 31s),
              std::vector<std::string>{"vm-2"});
    first.record_answer("vm-2", 1, start + 31s);
    EXPECT_TRUE(first.members_to_remove(start + 100s).empty());
}

TEST(member_table, doubles_the_suspicion_time_of_an_unreachable_vm)
{
    member_table table("vm-0");
    auto members = make_members(2);
    table.assign(members);
    std::string key = "k";
    while (table.owner(key, start) == "vm-0")
        key += 'k';
    table.suspect("vm-1", start);
    table.suspect("vm-1", start + 2s);
    EXPECT_EQ(table.owner(key, start + 5s), "vm-0");
    EXPECT_EQ(table.owner(key, start + 6s), "vm-1");
    table.suspect("vm-1", start + 6s);
    // A new process of the VM registers with a new incarnation.
    members[1].incarnation = 9;
    table.assign(members);
    EXPECT_EQ(table.owner(key, start + 7s), "vm-1");
}

TEST(member_table, detects_a_restart)
{
    member_table table("vm-0");
    table.assign(make_members(2));
    EXPECT_FALSE(table.record_answer("vm-1", 7, start));
    EXPECT_FALSE(table.record_answer("vm-1", 7, start));
    EXPECT_TRUE(table.record_answer("vm-1", 8, start));
    EXPECT_FALSE(table.record_answer("unknown", 8, start));
}

TEST(refusal, has_properties_for_each_reason)
{
    for (int n = 0; n <= static_cast<int>(refusal::bad_answer); ++n)
        EXPECT_EQ(traits_of(static_cast<refusal>(n)).reason,
                  static_cast<refusal>(n));
    for (int const status : {408, 421, 429, 503})
        EXPECT_TRUE(states_not_run(status));
    for (int const status : {200, 500, 502, 504})
        EXPECT_FALSE(states_not_run(status));
}

} // namespace
} // namespace buckthornvale::decision::gateway
