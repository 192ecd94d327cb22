#include "fixture.hpp"
#include <buckthornvale/decision/admission/ordering_policy.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::admission
{
namespace
{

class flooded_rank : public testing::TestWithParam<rank>
{
};

// Guards against a flooded rank that takes the guaranteed shares of the others,
// and against borrowed capacity that is only returned when the borrowed work
// ends.
TEST_P(flooded_rank, gives_every_other_rank_its_share_at_once)
{
    vm_fixture vm;
    auto const borrowed = vm.offer_requests(500, GetParam(), "flooder", 0.0);
    EXPECT_GE(borrowed, 10) << "unused guaranteed capacity was not borrowed";
    for (auto r : all_ranks)
    {
        if (r != GetParam())
        {
            EXPECT_GE(vm.offer_requests(20, r, "caller", 0.1), 2) << name_of(r);
        }
    }
}

// Guards against a flooded rank that exceeds the bound of the pool by its
// guarantee, which would move the queue to the runners.
TEST_P(flooded_rank, stays_within_the_bound_of_the_pool)
{
    vm_fixture vm;
    EXPECT_LE(vm.offer_requests(500, GetParam(), "flooder", 0.0), 12);
    EXPECT_GT(vm.controller.counts().queued, 100U);
}

INSTANTIATE_TEST_SUITE_P(ranks, flooded_rank, testing::ValuesIn(all_ranks),
                         [](auto const& it)
                         { return std::string(name_of(it.param)); });

// Guards against queueing a request whose deadline cannot be met: the caller
// would learn of it too late to send it elsewhere.
TEST(admission_controller, refuses_early_when_the_deadline_cannot_be_met)
{
    vm_fixture vm;
    vm.offer_requests(200, rank::standard, "flooder", 0.0);
    auto const answer = vm.admit(rank::standard, "flooder", 0.1, 3.0);
    EXPECT_EQ(answer.outcome, admission_outcome::refused);
    EXPECT_EQ(answer.reason, error_kind::deadline_unreachable);
    EXPECT_GT(answer.retry_after, duration::zero());
    auto const short_one = vm.admit(rank::urgent, "caller", 0.1, 0.5);
    EXPECT_EQ(short_one.reason, error_kind::deadline_unreachable);
    EXPECT_EQ(vm.admit(rank::urgent, "caller", 0.1, 0.0).reason,
              error_kind::deadline_passed);
}

// Guards against a request that is reported as not run and is then started.
TEST(admission_controller, expires_in_the_queue_without_ever_starting)
{
    vm_fixture vm;
    vm.offer_requests(20, rank::standard, "flooder", 0.0);
    ASSERT_EQ(vm.admit(rank::standard, "caller", 0.0, 5.0).outcome,
              admission_outcome::queued);
    auto const late = vm.last_request;
    vm.poll(4.5);
    EXPECT_NE(std::find(vm.expired.begin(), vm.expired.end(), late),
              vm.expired.end());
    for (auto const& it : vm.running)
        vm.finish(it, 4.6);
    vm.poll(4.6);
    EXPECT_EQ(std::find(vm.dispatched.begin(), vm.dispatched.end(), late),
              vm.dispatched.end());
    EXPECT_FALSE(vm.controller.cancel(late, at(4.7)));
}

// Guards against a cancelled request that starts later, and against cancel()
// reporting a running request as not run.
TEST(admission_controller, cancels_only_queued_requests)
{
    vm_fixture vm;
    vm.offer_requests(30, rank::standard, "caller", 0.0);
    auto const queued = vm.last_request;
    EXPECT_TRUE(vm.controller.cancel(queued, at(0.1)));
    EXPECT_FALSE(vm.controller.cancel(queued, at(0.1)));
    EXPECT_FALSE(vm.controller.cancel(vm.running.front(), at(0.1)));
    for (auto const& it : vm.running)
        vm.finish(it, 1.0);
    vm.poll(1.0);
    EXPECT_EQ(std::find(vm.dispatched.begin(), vm.dispatched.end(), queued),
              vm.dispatched.end());
}

// Guards against committed work that is never released after a request ends
// before all of its stages have run.
TEST(admission_controller, releases_the_work_of_stages_that_did_not_run)
{
    vm_fixture vm;
    for (int round = 0; round < 50; ++round)
    {
        ASSERT_EQ(vm.admit(rank::standard, "caller", 0.1 * round).outcome,
                  admission_outcome::dispatch)
            << "round " << round;
        vm.controller.finished(vm.last_request, at(0.1 * round));
    }
}

// Guards against queueing requests for a pool that has no runner left.
TEST(admission_controller, refuses_when_a_pool_has_no_runner)
{
    vm_fixture vm;
    vm.controller.set_pool_capacity(models, 0.0, at(1));
    EXPECT_EQ(vm.admit(rank::urgent, "caller", 1.0).reason,
              error_kind::no_runner);
}

// Guards against a heavy organisation that delays light ones of the same rank.
TEST(admission_controller, serves_a_small_organisation_beside_a_heavy_one)
{
    vm_fixture vm;
    vm.offer_requests(300, rank::standard, "heavy", 0.0);
    ASSERT_NE(vm.admit(rank::standard, "small", 0.2).outcome,
              admission_outcome::refused);
    auto const small = vm.last_request;
    vm.finish(vm.running[0], 1.0);
    vm.finish(vm.running[1], 1.0);
    vm.poll(1.0);
    ASSERT_FALSE(vm.dispatched.empty());
    EXPECT_EQ(vm.dispatched.front(), small);
}

// Guards against one organisation that fills the queue of its rank.
TEST(admission_controller, reserves_queue_space_for_other_organisations)
{
    admission_settings settings;
    settings.queue_capacity = 100;
    vm_fixture vm(settings);
    vm.offer_requests(500, rank::background, "heavy", 0.0);
    EXPECT_EQ(vm.admit(rank::background, "heavy", 0.0).reason,
              error_kind::overloaded);
    EXPECT_EQ(vm.admit(rank::background, "small", 0.0).outcome,
              admission_outcome::queued);
}

// Guards against memory use that grows with the number of organisations ever
// seen.
TEST(admission_controller, drops_idle_organisations_but_none_in_flight)
{
    vm_fixture vm({}, 1e6);
    for (int n = 0; n < 5000; ++n)
    {
        vm.admit(rank::standard, "org" + std::to_string(n), 0.0);
        if (n > 0)
            vm.finish(vm.last_request, 0.5);
    }
    EXPECT_EQ(vm.controller.counts().organisations, 5000U);
    for (int n = 0; n < 200; ++n)
        vm.poll(31.0 + 0.005 * n);
    EXPECT_EQ(vm.controller.counts().organisations, 1U);
}

// Guards against a summary whose size grows with the number of organisations;
// it is sent over every peer link once a second.
TEST(admission_controller, bounds_the_summary_and_lists_the_heaviest)
{
    vm_fixture vm({}, 1e6);
    for (int n = 0; n < 2000; ++n)
    {
        vm.admit(rank::standard, "org" + std::to_string(n), 0.0);
        vm.admit(rank::standard, "heavy", 0.0);
    }
    auto const summary = vm.controller.local_demand(at(0.0));
    EXPECT_EQ(summary.pools.size(), 1U);
    EXPECT_LE(summary.heaviest.size(), 32U);
    ASSERT_FALSE(summary.heaviest.empty());
    EXPECT_EQ(summary.heaviest.front().organisation, organisation("heavy"));
    EXPECT_NEAR(summary.heaviest.front().request_rate, 1000.0, 1.0);
    EXPECT_GT(summary.unlisted_request_rate, 0.0F);
}

// Guards against orderings that only benchmarks use and that no longer work.
TEST(admission_controller, runs_with_every_ordering)
{
    for (auto order : {ordering::fifo, ordering::strict_priority,
                       ordering::weighted_fair, ordering::deadline_aware})
    {
        admission_settings settings;
        settings.order = order;
        vm_fixture vm(settings);
        vm.offer_requests(30, rank::background, "a", 0.0);
        auto const answer = vm.admit(rank::urgent, "b", 0.0);
        auto const urgent = vm.last_request;
        vm.finish(vm.running.front(), 1.0);
        vm.finish(vm.running.back(), 1.0);
        vm.poll(1.0);
        ASSERT_FALSE(vm.dispatched.empty());
        bool const first = answer.outcome == admission_outcome::dispatch ||
                           vm.dispatched.front() == urgent;
        EXPECT_EQ(first, order != ordering::fifo) << name_of(order);
    }
}

} // namespace
} // namespace buckthornvale::decision::admission
