#include <buckthornvale/objects/budget/store_budget.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::objects
{
namespace
{

using namespace std::chrono_literals;

decision::time_point at(decision::duration since_start)
{
    return decision::time_point(since_start);
}

int count_grants(store_budget& budget, call_purpose purpose,
                 call_direction direction, decision::time_point now)
{
    int count = 0;
    while (budget.acquire(purpose, direction, now).is_granted)
        ++count;
    return count;
}

// Guards against a growing fleet that exceeds the store's rate limit: over 100
// s, 330 VMs together may make 240 writes/s plus their bursts.
TEST(store_budget, divides_the_fleet_rate_by_the_live_vms)
{
    store_budget budget({}, 1);
    budget.set_live_vms(330, at(0s));
    int count = 0;
    for (int i = 0; i <= 1000; ++i)
    {
        count += count_grants(budget, call_purpose::claim,
                              call_direction::write, at(i * 100ms));
    }
    EXPECT_GE(count, 72);
    EXPECT_LE(count, 72 + 4 + 1);
}

// Guards against status writes that starve claims.
TEST(store_budget, keeps_tokens_for_more_important_calls)
{
    store_budget budget({}, 1);
    budget.set_live_vms(330, at(0s));
    auto const now = at(100s);
    EXPECT_EQ(
        count_grants(budget, call_purpose::status, call_direction::write, now),
        1);
    EXPECT_EQ(
        count_grants(budget, call_purpose::lease, call_direction::write, now),
        1);
    EXPECT_EQ(count_grants(budget, call_purpose::settings,
                           call_direction::write, now),
              1);
    EXPECT_EQ(
        count_grants(budget, call_purpose::claim, call_direction::write, now),
        1);
    EXPECT_EQ(budget.counters(call_purpose::claim).granted, 1U);
    EXPECT_EQ(budget.counters(call_purpose::claim).deferred, 1U);
}

// Guards against a time that exceeds the range of a duration.
TEST(store_budget, defers_by_a_bounded_time_at_a_rate_of_zero)
{
    store_budget_settings settings;
    settings.fleet_writes_per_second = 0.;
    store_budget budget(settings, 1);
    budget.set_live_vms(1, at(0s));
    count_grants(budget, call_purpose::claim, call_direction::write, at(1s));
    auto const permit =
        budget.acquire(call_purpose::claim, call_direction::write, at(1s));
    EXPECT_FALSE(permit.is_granted);
    EXPECT_GT(permit.retry_after, 0s);
    EXPECT_LE(permit.retry_after, 2h);
}

// Guards against a call that is denied again after waiting for retry_after.
TEST(store_budget, grants_the_call_at_retry_after)
{
    store_budget budget({}, 1);
    budget.set_live_vms(7, at(0s));
    auto now = at(1s);
    for (int i = 0; i < 200; ++i)
    {
        auto const permit =
            budget.acquire(call_purpose::settings, call_direction::read, now);
        if (permit.is_granted)
            continue;
        now += permit.retry_after;
        EXPECT_TRUE(
            budget.acquire(call_purpose::settings, call_direction::read, now)
                .is_granted);
    }
}

// Guards against VMs that retry simultaneously after an outage.
TEST(store_budget, backs_off_with_jitter_and_recovers)
{
    auto const delays = [](std::uint64_t seed)
    {
        store_budget budget({}, seed);
        std::vector<decision::duration> all;
        for (int i = 0; i < 12; ++i)
        {
            budget.failed(call_purpose::claim, at(0s));
            all.push_back(
                budget
                    .acquire(call_purpose::claim, call_direction::write, at(0s))
                    .retry_after);
        }
        budget.succeeded(call_purpose::claim);
        EXPECT_TRUE(
            budget.acquire(call_purpose::claim, call_direction::write, at(0s))
                .is_granted);
        return all;
    };
    auto const first = delays(1);
    EXPECT_EQ(first, delays(1));
    EXPECT_NE(first, delays(2));
    for (std::size_t i = 0; i < first.size(); ++i)
    {
        auto const full_delay =
            std::min<decision::duration>(100ms * (1 << i), 10s);
        EXPECT_GE(first[i], full_delay / 2);
        EXPECT_LE(first[i], full_delay);
    }
}

// Guards against writing to the store on every change of a VM's status.
TEST(store_budget, coalesces_status_writes)
{
    store_budget budget({}, 1);
    budget.offer_status("1");
    EXPECT_EQ(budget.take_status(at(0s)), "1");
    budget.offer_status("2");
    budget.offer_status("3");
    EXPECT_EQ(budget.take_status(at(4s)), std::nullopt);
    EXPECT_EQ(budget.take_status(at(5s)), "3");
    EXPECT_EQ(budget.take_status(at(10s)), std::nullopt);
    EXPECT_EQ(budget.counters(call_purpose::status).coalesced, 1U);
}

} // namespace
} // namespace buckthornvale::objects
