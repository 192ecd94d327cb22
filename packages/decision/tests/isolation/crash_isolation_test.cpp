#include <buckthornvale/decision/isolation/crash_isolation.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace buckthornvale::decision::isolation
{
namespace
{

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

time_point const start{hours(1)};

runner_id runner(int i)
{
    return runner_id::of("runner-" + std::to_string(i));
}

fingerprint content(int i)
{
    return fingerprint_of(pipeline_id::of("replies"), organisation_id::of("a"),
                          "input " + std::to_string(i));
}

auto const poison = content(666);

//! VMs that exchange marks, immediately or with a delay.
struct test_fleet
{
    explicit test_fleet(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
            vms.emplace_back(isolation_settings{}, i);
    }

    //! Delivers each VM's new marks to all VMs.
    void exchange_marks()
    {
        for (auto& from : vms)
        {
            std::vector<isolation_mark> marks;
            from.take_marks(now, marks);
            for (auto& to : vms)
            {
                for (auto const& it : marks)
                    to.apply_mark(it, now);
            }
        }
    }

    //! Sends the crashing content through one VM, alongside a harmless request;
    //! returns false if the VM refuses it.
    bool send_poison(std::size_t vm)
    {
        auto& it = vms[vm];
        if (it.check(poison, now) == isolation_decision::refused)
            return false;
        auto const to = runner(++crashes);
        auto const neighbour = content(crashes);
        if (it.check(poison, now) == isolation_decision::clear)
            it.attempt_started(to, neighbour, now);
        EXPECT_TRUE(it.may_share(to, poison, now));
        it.attempt_started(to, poison, now);
        it.runner_crashed(to, now);
        return true;
    }

    std::vector<crash_isolation> vms;
    int crashes = 0;
    time_point now = start;
};

// Guards against a request that crashes a runner on each VM it is sent through.
// The bound is 3 when marks arrive in time.
TEST(crash_isolation, bounds_crashes_of_a_caller_that_retries_on_all_vms)
{
    test_fleet fleet(8);
    for (std::size_t i = 0; i < 40; ++i)
    {
        fleet.send_poison(i % 8);
        fleet.exchange_marks();
        fleet.now += seconds(1);
    }
    EXPECT_LE(fleet.crashes, 3);
    EXPECT_EQ(fleet.vms[7].check(poison, fleet.now),
              isolation_decision::refused);
}

// Guards against an unbounded number of crashes while marks are late: marks
// that arrive after `delayed_sends` more sends cost at most that many runners
// more than the 2 that a single VM loses. A delay of one send gives the stated
// bound of 3.
TEST(crash_isolation, adds_one_crash_per_send_before_marks_arrive)
{
    for (std::size_t delayed_sends = 0; delayed_sends < 5; ++delayed_sends)
    {
        test_fleet fleet(8);
        std::vector<std::vector<isolation_mark>> undelivered;
        for (std::size_t i = 0; i < 40; ++i)
        {
            fleet.send_poison(i % 8);
            fleet.vms[i % 8].take_marks(fleet.now, undelivered.emplace_back());
            if (i < delayed_sends)
                continue;
            for (auto& to : fleet.vms)
            {
                for (auto const& it : undelivered[i - delayed_sends])
                    to.apply_mark(it, fleet.now);
            }
            fleet.now += seconds(1);
        }
        EXPECT_LE(fleet.crashes, 2 + static_cast<int>(delayed_sends));
    }
}

// Guards against repeated crashes on both sides of a partition: a VM without
// links adds one crash and then refuses.
TEST(crash_isolation, adds_one_crash_per_partitioned_vm)
{
    test_fleet fleet(4);
    for (auto& it : fleet.vms)
        it.set_links_up(false);
    for (std::size_t i = 0; i < 40; ++i)
        fleet.send_poison(i % 4);
    EXPECT_EQ(fleet.crashes, 4);
    for (auto& it : fleet.vms)
        it.set_links_up(true);
    fleet.exchange_marks();
    for (std::size_t i = 0; i < 40; ++i)
        fleet.send_poison(i % 4);
    EXPECT_EQ(fleet.crashes, 4);
}

// Guards against a harmless request that stays suspect because it shared a
// runner with a crashing one, and against clearing a suspect that completes on
// a shared runner.
TEST(crash_isolation, clears_a_suspect_only_when_it_completes_alone)
{
    crash_isolation isolation;
    isolation.attempt_started(runner(1), content(1), start);
    isolation.attempt_started(runner(1), poison, start);
    isolation.attempt_started(runner(2), content(1), start);
    isolation.attempt_started(runner(2), content(2), start);
    isolation.runner_crashed(runner(1), start);
    isolation.attempt_finished(runner(2), content(1), start);
    EXPECT_EQ(isolation.check(content(1), start),
              isolation_decision::run_alone);
    EXPECT_EQ(isolation.check(content(2), start), isolation_decision::clear);
    EXPECT_FALSE(isolation.may_share(runner(2), content(1), start));
    isolation.attempt_started(runner(3), content(1), start);
    EXPECT_FALSE(isolation.may_share(runner(3), content(2), start));
    isolation.attempt_abandoned(runner(3), content(1), start);
    EXPECT_EQ(isolation.check(content(1), start),
              isolation_decision::run_alone);
    isolation.attempt_started(runner(3), content(1), start);
    isolation.attempt_finished(runner(3), content(1), start);
    EXPECT_EQ(isolation.check(content(1), start), isolation_decision::clear);
}

// Guards against a clear on one VM that undoes an isolation on another,
// regardless of the order in which the marks arrive.
TEST(crash_isolation, keeps_an_isolation_against_a_racing_clear)
{
    test_fleet fleet(2);
    fleet.send_poison(0);
    fleet.exchange_marks();
    fleet.send_poison(0);
    auto& other = fleet.vms[1];
    other.attempt_started(runner(50), poison, fleet.now);
    other.attempt_finished(runner(50), poison, fleet.now);
    EXPECT_EQ(other.check(poison, fleet.now), isolation_decision::clear);
    fleet.exchange_marks();
    EXPECT_EQ(fleet.vms[0].check(poison, fleet.now),
              isolation_decision::refused);
    EXPECT_EQ(other.check(poison, fleet.now), isolation_decision::refused);
}

// Guards against a late suspect mark that undoes a clear.
TEST(crash_isolation, ignores_a_suspicion_older_than_the_clear)
{
    crash_isolation isolation;
    isolation.attempt_started(runner(1), content(1), start);
    isolation.runner_crashed(runner(1), start);
    std::vector<isolation_mark> early;
    isolation.take_marks(start, early);
    isolation.attempt_started(runner(2), content(1), start);
    isolation.attempt_finished(runner(2), content(1), start);
    ASSERT_EQ(early.size(), 1U);
    EXPECT_FALSE(isolation.apply_mark(early.front(), start));
    EXPECT_EQ(isolation.check(content(1), start), isolation_decision::clear);
}

// Guards against an operator's lift that is undone by marks of other VMs.
TEST(crash_isolation, lifts_on_all_vms)
{
    test_fleet fleet(3);
    fleet.send_poison(0);
    fleet.send_poison(0);
    fleet.exchange_marks();
    fleet.vms[2].lift(poison, fleet.now);
    std::vector<isolation_mark> old;
    fleet.vms[0].recent_marks(fleet.now, 10, old);
    fleet.exchange_marks();
    for (auto const& it : old)
        fleet.vms[1].apply_mark(it, fleet.now);
    EXPECT_EQ(fleet.vms[0].check(poison, fleet.now), isolation_decision::clear);
    EXPECT_EQ(fleet.vms[1].check(poison, fleet.now), isolation_decision::clear);
}

// Guards against marks that VMs keep alive by repeating them to each other.
TEST(crash_isolation, lets_repeated_marks_expire)
{
    test_fleet fleet(2);
    fleet.send_poison(0);
    fleet.send_poison(0);
    for (int i = 0; i < 90; ++i)
    {
        for (std::size_t from = 0; from < 2; ++from)
        {
            std::vector<isolation_mark> marks;
            fleet.vms[from].recent_marks(fleet.now, 10, marks);
            for (auto const& it : marks)
                fleet.vms[1 - from].apply_mark(it, fleet.now);
        }
        fleet.now += minutes(1);
    }
    EXPECT_EQ(fleet.vms[0].check(poison, fleet.now), isolation_decision::clear);
    EXPECT_EQ(fleet.vms[1].check(poison, fleet.now), isolation_decision::clear);
}

// Guards against memory that grows with the number of crashes, and against
// evicting isolated content before suspects.
TEST(crash_isolation, bounds_its_marks_and_keeps_isolated_ones)
{
    isolation_settings settings;
    settings.max_marks = 50;
    crash_isolation isolation(settings);
    for (int i = 0; i < 2; ++i)
    {
        isolation.attempt_started(runner(0), poison, start);
        isolation.runner_crashed(runner(0), start);
    }
    for (int i = 1; i < 500; ++i)
    {
        isolation.attempt_started(runner(i), content(i), start);
        isolation.runner_crashed(runner(i), start);
    }
    EXPECT_EQ(isolation.marks(), 50U);
    EXPECT_EQ(isolation.check(poison, start), isolation_decision::refused);
}

// Guards against a mark that applies to the content of another organisation.
TEST(fingerprint, differs_between_organisations_and_pipelines)
{
    auto const a = organisation_id::of("a");
    auto const b = organisation_id::of("b");
    auto const p = pipeline_id::of("a");
    EXPECT_EQ(fingerprint_of(p, a, "x"), fingerprint_of(p, a, "x"));
    EXPECT_NE(fingerprint_of(p, a, "x"), fingerprint_of(p, b, "x"));
    EXPECT_NE(fingerprint_of(p, a, "x"), fingerprint_of(p, a, "y"));
    auto const q = pipeline_id::of("b");
    EXPECT_NE(fingerprint_of(p, b, "x"), fingerprint_of(q, a, "x"));
}

} // namespace
} // namespace buckthornvale::decision::isolation
