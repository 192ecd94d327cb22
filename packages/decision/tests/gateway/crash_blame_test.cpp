#include "crash_simulation.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

//! Time in which all VMs learn of a change, by the users' rules.
constexpr duration contact_time = 3s;

//! Number of requests with a deadly part that may still reach runners later
//! than this after the fifth crash.
constexpr int max_late_sends = 3;
constexpr std::size_t counted_crashes = 5;

//! Share of sound requests that have to begin at their first attempt.
constexpr double min_sound_share = 0.5;

constexpr duration day = 26s;
constexpr std::uint64_t deadly_part = 666;

//! Seeds of the replays: each VM, runner and time of arrival differs.
constexpr std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

//! Sound load of both routes and three callers, with popular and rare parts.
void add_sound_load(crash_simulation& fleet)
{
    for (auto const* key : {"key-1", "key-2"})
    {
        fleet.add_load({"/plan/", key, 16, {1, 100}, 40}, 0s, day);
        fleet.add_load({"/digest/", key, 20, {2, 200}, 10}, 0s, day);
    }
    fleet.add_load({"/plan/", "key-3", 1.5, {1, 100}, 40}, 0s, day);
}

//! Requests that share one part with each other, and their caller and the other
//! parts with sound ones.
void add_deadly_load(crash_simulation& fleet, std::string const& path,
                     double per_second, std::uint64_t part = deadly_part)
{
    fleet.add_deadly_part(part);
    fleet.add_load({path, "key-1", per_second, {1, part}, 0}, 4s, day);
}

void expect_few_late_sends(crash_simulation const& fleet,
                           std::size_t crashes = counted_crashes)
{
    if (fleet.crashes().size() < crashes)
        return;
    auto const bound = fleet.crashes()[crashes - 1] + contact_time;
    EXPECT_LE(fleet.deadly_sends_since(bound), max_late_sends);
}

void expect_sound_requests_pass(crash_simulation const& fleet)
{
    for (auto const* path : {"/plan/", "/digest/"})
        for (auto const* key : {"key-1", "key-2", "key-3"})
            EXPECT_GE(fleet.sound_requests(path, key, 12s).value(),
                      min_sound_share)
                << path << key;
}

// Guards against requests that share a part of their prompts and crash one
// runner after the other: no two have the same content.
TEST(crash_blame, falls_on_the_part_that_lost_runs_share)
{
    for (auto const seed : seeds)
    {
        for (auto const* path : {"/plan/", "/digest/"})
        {
            for (double const per_second : {0.5, 2.4, 10.0})
            {
                SCOPED_TRACE(path + std::to_string(per_second) + ", seed " +
                             std::to_string(seed));
                crash_simulation fleet(8, 18, seed);
                add_sound_load(fleet);
                add_deadly_load(fleet, path, per_second);
                fleet.run_until(day);
                EXPECT_GE(fleet.crashes().size(), 3U);
                expect_few_late_sends(fleet);
                expect_sound_requests_pass(fleet);
            }
        }
    }
}

TEST(crash_blame, falls_on_two_parts_at_once)
{
    for (auto const seed : seeds)
    {
        SCOPED_TRACE(seed);
        crash_simulation fleet(8, 18, seed);
        add_sound_load(fleet);
        add_deadly_load(fleet, "/plan/", 2);
        add_deadly_load(fleet, "/digest/", 2, deadly_part + 1);
        fleet.run_until(day);
        expect_few_late_sends(fleet, 2 * counted_crashes);
        expect_sound_requests_pass(fleet);
    }
}

// Guards against VMs that know nothing of a blocked part: one starts anew, and
// one is cut off from the others while the part is found.
TEST(crash_blame, reaches_vms_that_restart_or_were_cut_off)
{
    for (auto const seed : seeds)
    {
        SCOPED_TRACE(seed);
        crash_simulation fleet(8, 18, seed);
        add_sound_load(fleet);
        add_deadly_load(fleet, "/plan/", 4);
        fleet.cut_off(seed % 8, 4s, 9s);
        fleet.restart_at((seed + 1) % 8, 5s);
        fleet.restart_at((seed + 2) % 8, 12s);
        fleet.run_until(day);
        // Those VMs are bound by the rule once they have been in touch for the
        // time of contact: after the end of the cut and after the restart.
        EXPECT_LE(fleet.deadly_sends_since(9s + contact_time) -
                      fleet.deadly_sends_since(12s + contact_time),
                  max_late_sends);
        EXPECT_LE(fleet.deadly_sends_since(12s + contact_time), max_late_sends);
        expect_sound_requests_pass(fleet);
    }
}

//! One request that crashes runners and comes to each VM again and again. Its
//! path and its caller have sound requests too, so that only its content is to
//! blame.
void add_deadly_content(crash_simulation& fleet)
{
    crash_load load;
    load.per_second = 4;
    load.deadly_content = true;
    fleet.add_load(load, 4s, day);
}

// Guards against VMs that forget what crashes runners when they start again: a
// planned restart of all VMs allowed three more crashes at each.
TEST(crash_blame, of_repeated_content_outlives_restarts_in_turn)
{
    for (auto const seed : seeds)
    {
        SCOPED_TRACE(seed);
        crash_simulation fleet(4, 18, seed);
        add_sound_load(fleet);
        add_deadly_content(fleet);
        for (std::size_t n = 0; n < 4; ++n)
            fleet.restart_at(n, 12s + std::int64_t(n) * 3s);
        fleet.run_until(day);
        EXPECT_GE(fleet.crashes().size(), 3U);
        EXPECT_LE(fleet.deadly_sends_since(fleet.crashes()[2] + contact_time),
                  max_late_sends);
        expect_sound_requests_pass(fleet);
    }
}

// Guards against VMs that are all killed at once and forget what crashes
// runners: each kill allowed three more crashes.
TEST(crash_blame, of_repeated_content_outlives_kills_of_all_vms)
{
    for (auto const seed : seeds)
    {
        SCOPED_TRACE(seed);
        crash_simulation fleet(4, 18, seed);
        add_sound_load(fleet);
        add_deadly_content(fleet);
        for (auto const at : {9s, 14s, 19s})
            fleet.kill_all_at(at);
        fleet.run_until(day);
        EXPECT_GE(fleet.crashes().size(), 3U);
        EXPECT_LE(fleet.deadly_sends_since(fleet.crashes()[2] + contact_time),
                  max_late_sends);
        expect_sound_requests_pass(fleet);
    }
}

// Guards against retrials of blocked content by several VMs, or by each of its
// requests.
TEST(crash_blame, of_content_is_tried_again_seldom)
{
    constexpr duration long_day = 35min;
    crash_simulation fleet(3, 6, 1);
    crash_load load;
    load.per_second = 0.2;
    load.deadly_content = true;
    fleet.add_load(load, 4s, long_day);
    fleet.run_until(long_day);
    auto const& crashes = fleet.crashes();
    ASSERT_GE(crashes.size(), 4U);
    EXPECT_LE(crashes.size(), 5U);
    EXPECT_GE(crashes[3] - crashes[2], 10min);
}

// Guards against a store that is written to for each request that ran on a
// runner when it ended for reasons of its own.
TEST(crash_blame, of_sound_content_is_seldom_stored)
{
    constexpr int runner_crashes = 18;
    for (auto const seed : seeds)
    {
        SCOPED_TRACE(seed);
        crash_simulation fleet(8, 18, seed);
        add_sound_load(fleet);
        for (int n = 0; n < runner_crashes; ++n)
            fleet.crash_at(std::size_t(n), 4s + n * 400ms);
        fleet.run_until(day);
        EXPECT_LE(fleet.writes(), runner_crashes);
    }
}

// Guards against blame for runners that end for other reasons: many at a time,
// one after the other, or not at all while they break off answers.
TEST(crash_blame, falls_on_no_part_without_a_deadly_one)
{
    for (auto const seed : seeds)
    {
        SCOPED_TRACE(seed);
        crash_simulation fleet(8, 18, seed);
        add_sound_load(fleet);
        fleet.break_off(0.1);
        for (std::size_t n = 0; n < 6; ++n)
            fleet.crash_at(n, 4s);
        for (std::size_t n = 6; n < 18; ++n)
            fleet.crash_at(n, 4s + std::int64_t(n) * 400ms);
        fleet.run_until(day);
        for (auto const* path : {"/plan/", "/digest/"})
            for (auto const* key : {"key-1", "key-2", "key-3"})
                EXPECT_GE(fleet.sound_requests(path, key, 13s).value(), 0.95)
                    << path << key;
    }
}

// Guards against a service whose runners all end again and again for a reason
// of their own: nothing it serves is to blame.
TEST(crash_blame, falls_on_nothing_while_no_run_is_answered)
{
    crash_simulation fleet(8, 4, 1);
    add_sound_load(fleet);
    for (std::int64_t second = 4; second < 12; ++second)
        for (std::size_t n = 0; n < 4; ++n)
            fleet.crash_at(n, second * 1s + std::int64_t(n) * 10ms);
    fleet.run_until(day);
    EXPECT_GE(fleet.sound_requests("/plan/", "key-1", 17s).value(), 0.95);
    EXPECT_GE(fleet.sound_requests("/digest/", "key-2", 17s).value(), 0.95);
}

} // namespace
} // namespace buckthornvale::decision::gateway
