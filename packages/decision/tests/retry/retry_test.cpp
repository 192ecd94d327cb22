#include <buckthornvale/decision/retry/deadline_split.hpp>
#include <buckthornvale/decision/retry/hedge_policy.hpp>
#include <buckthornvale/decision/retry/retry_budget.hpp>
#include <buckthornvale/decision/retry/retry_policy.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::retry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start{seconds(100)};

// Guards against retries that amplify the load of an outage: they must never
// exceed a tenth of first attempts, and tokens saved up during a period without
// failures must not allow a large burst.
TEST(retry_budget, stays_within_a_tenth_of_first_attempts)
{
    retry_budget budget;
    EXPECT_FALSE(budget.try_take());
    for (int i = 0; i < 1000; ++i)
    {
        budget.record_first_attempt();
        budget.try_take();
        EXPECT_LE(budget.taken() * 10, budget.first_attempts());
    }
    EXPECT_EQ(budget.taken(), 100U);
    for (int i = 0; i < 1000; ++i)
        budget.record_first_attempt();
    int burst = 0;
    while (budget.try_take())
        ++burst;
    EXPECT_EQ(burst, 10);
}

retry_budget full_budget()
{
    retry_budget budget;
    for (int i = 0; i < 1000; ++i)
        budget.record_first_attempt();
    return budget;
}

failed_attempt failed_lookup()
{
    failed_attempt failed;
    failed.repeatable = true;
    failed.deadline = start + seconds(1);
    failed.expected = milliseconds(200);
    return failed;
}

// Guards against sending a booking twice after a lost connection.
TEST(retry_policy, repeats_a_booking_only_when_it_provably_did_not_start)
{
    auto budget = full_budget();
    auto booking = failed_lookup();
    booking.repeatable = false;
    EXPECT_EQ(decide_retry(booking, budget, start),
              retry_verdict::not_repeatable);
    booking.may_have_run = false;
    EXPECT_EQ(decide_retry(booking, budget, start), retry_verdict::retry);
}

// Guards against retries that cannot finish by the deadline, that exceed the
// attempt limit or that have no budget. A refused retry must not take a token.
TEST(retry_policy, refuses_without_time_attempts_or_budget)
{
    auto budget = full_budget();
    auto failed = failed_lookup();
    EXPECT_EQ(decide_retry(failed, budget, start + milliseconds(801)),
              retry_verdict::insufficient_time);
    EXPECT_EQ(decide_retry(failed, budget, start + seconds(2)),
              retry_verdict::insufficient_time);
    failed.attempts = max_attempts;
    EXPECT_EQ(decide_retry(failed, budget, start),
              retry_verdict::too_many_attempts);
    EXPECT_EQ(budget.taken(), 0U);
    retry_budget empty;
    EXPECT_EQ(decide_retry(failed_lookup(), empty, start),
              retry_verdict::budget_exhausted);
}

// Guards against an early stage that uses up the time of a slower later
// stage.
TEST(deadline_split, gives_each_stage_its_measured_share)
{
    deadline_split times;
    for (int i = 0; i < 200; ++i)
    {
        times.record(1, milliseconds(50));
        times.record(2, milliseconds(450));
    }
    std::vector<remaining_stage> const path = {{1, seconds(9)}, {2, {}}};
    std::vector<duration> budgets;
    times.split(path, start + seconds(3), start, budgets);
    ASSERT_EQ(budgets.size(), 2U);
    EXPECT_NEAR(to_seconds(budgets[0]), 0.3, 0.03);
    EXPECT_NEAR(to_seconds(budgets[1]), 2.7, 0.03);
    EXPECT_EQ(times.budget(path, start + seconds(3), start), budgets[0]);
    EXPECT_EQ(times.budget(path, start, start + seconds(1)), duration::zero());
}

// Guards against budgets computed from no samples, or from too few.
TEST(deadline_split, uses_expected_times_until_enough_are_measured)
{
    deadline_split times;
    times.record(1, seconds(5));
    std::vector<remaining_stage> const path = {{1, milliseconds(100)},
                                               {2, milliseconds(300)}};
    EXPECT_EQ(times.budget(path, start + seconds(4), start), seconds(1));
}

// Guards against a histogram dominated by slow samples from an earlier period.
TEST(deadline_split, follows_a_stage_that_changes)
{
    deadline_split times;
    remaining_stage const stage{1, {}};
    for (int i = 0; i < 2000; ++i)
        times.record(1, seconds(2));
    for (int i = 0; i < 12'000; ++i)
        times.record(1, milliseconds(20));
    EXPECT_LT(times.quantile(stage, 0.95), milliseconds(25));
}

hedge_query make_hedge_query()
{
    hedge_query query;
    query.stage = {1, {}};
    query.repeatable = true;
    query.hedging_enabled = true;
    query.started = start;
    query.deadline = start + seconds(1);
    return query;
}

deadline_split measured_times()
{
    deadline_split times;
    for (int i = 0; i < 1000; ++i)
        times.record(1, milliseconds(i % 20 == 0 ? 400 : 20));
    return times;
}

// Guards against hedging non-repeatable stages, stages without hedging enabled,
// and stages that were hedged already.
TEST(hedge_policy, races_only_marked_and_repeatable_stages_once)
{
    hedge_policy const policy;
    auto const times = measured_times();
    EXPECT_TRUE(policy.hedge_time(make_hedge_query(), times));
    auto query = make_hedge_query();
    query.repeatable = false;
    EXPECT_FALSE(policy.hedge_time(query, times));
    query = make_hedge_query();
    query.hedging_enabled = false;
    EXPECT_FALSE(policy.hedge_time(query, times));
    query = make_hedge_query();
    query.hedged = true;
    EXPECT_FALSE(policy.hedge_time(query, times));
    query = make_hedge_query();
    query.deadline = start + milliseconds(10);
    EXPECT_FALSE(policy.hedge_time(query, times));
    EXPECT_FALSE(policy.hedge_time(make_hedge_query(), deadline_split{}));
}

// Guards against hedges that are sent before the p95 or without a token from
// the retry budget.
TEST(hedge_policy, waits_for_the_p95_and_takes_from_the_budget)
{
    hedge_policy const policy;
    auto const times = measured_times();
    auto budget = full_budget();
    EXPECT_FALSE(policy.may_hedge(make_hedge_query(), times, budget, start));
    auto const hedge_at = policy.hedge_time(make_hedge_query(), times).value();
    EXPECT_GE(hedge_at, start + milliseconds(20));
    EXPECT_LE(hedge_at, start + milliseconds(25));
    EXPECT_TRUE(policy.may_hedge(make_hedge_query(), times, budget, hedge_at));
    EXPECT_EQ(budget.taken(), 1U);
    retry_budget empty;
    EXPECT_FALSE(policy.may_hedge(make_hedge_query(), times, empty, hedge_at));
}

} // namespace
} // namespace buckthornvale::decision::retry
