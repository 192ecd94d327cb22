#include <buckthornvale/decision/routing/cache_warmer.hpp>

#include <gtest/gtest.h>

#include <string>

namespace buckthornvale::decision::routing
{
namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

auto const pool = pool_id::of("generate");

organisation_id organisation(int i)
{
    return organisation_id::of("organisation-" + std::to_string(i));
}

warm_target target(int i, double worth)
{
    warm_target result;
    result.organisation = organisation(i);
    result.pool = pool;
    result.work = seconds(1);
    result.worth = worth;
    return result;
}

// Guards against a cold start for a caller that returns after a week, and
// against a refresh whose cost is not counted.
TEST(cache_warmer, refreshes_before_eviction_and_counts_the_cost)
{
    cache_warmer keeper;
    std::vector<warm_target const*> due;
    time_point now{};
    keeper.set_slots(20., now);
    keeper.add_target(target(1, 1.), now);
    for (int i = 0; i < 60; ++i)
        keeper.take_due(now += minutes(1), due);
    EXPECT_EQ(keeper.counters().refreshes, 15U);
    EXPECT_DOUBLE_EQ(keeper.counters().work_s, 15.);
    keeper.record_use(organisation(1), pool, now);
    EXPECT_EQ(keeper.counters().warm_hits, 1U);
}

// Guards against refreshes that use the capacity of callers' requests.
TEST(cache_warmer, stays_within_its_budget_and_prefers_worth)
{
    cache_warmer keeper;
    time_point now{};
    keeper.set_slots(10., now);
    for (int i = 0; i < 100; ++i)
        keeper.add_target(target(i, double(i)), now);
    std::vector<warm_target const*> due;
    for (int i = 0; i < 600; ++i)
        keeper.take_due(now += seconds(1), due);
    // 1% of 10 slots over 600 s.
    EXPECT_LE(keeper.counters().work_s, 60.);
    EXPECT_GT(keeper.counters().over_budget, 0U);
    EXPECT_EQ(due.front()->organisation, organisation(99));
}

// Guards against each VM paying for the same refresh.
TEST(cache_warmer, refreshes_each_target_on_one_vm)
{
    std::vector<vm_id> const live = {vm_id::of("a"), vm_id::of("b"),
                                     vm_id::of("c")};
    std::uint64_t refreshes = 0;
    for (auto vm : live)
    {
        cache_warmer keeper;
        std::vector<warm_target const*> due;
        keeper.set_vms(vm, live);
        keeper.set_slots(10'000., time_point{});
        for (int i = 0; i < 20; ++i)
            keeper.add_target(target(i, 1.), time_point{});
        keeper.take_due(time_point{minutes(4)}, due);
        refreshes += due.size();
    }
    EXPECT_EQ(refreshes, 20U);
}

} // namespace
} // namespace buckthornvale::decision::routing
