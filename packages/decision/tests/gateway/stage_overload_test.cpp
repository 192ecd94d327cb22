#include "fake_pool.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

// Five runners that process 22 pieces in 376 ms: 292 pieces per second.
constexpr int pool_pieces_per_s = 292;

// A pool that records when pieces start.
class overloaded_pool
{
public:
    overloaded_pool() { scheduler.configure(limits_of(1000)); }

    // Advances in small steps, so that the start times are exact.
    void run_for(duration length)
    {
        auto const end = pool.now + length;
        while (pool.now < end)
            run(pool.now + 10ms);
    }

    void submit_tracked(duration due_in)
    {
        due_times[request] = due_in;
        auto work = make_piece(request);
        work.due_in = due_in;
        due[request++] = pool.now + due_in;
        scheduler.submit("vm", {std::move(work)}, pool.now);
    }

    void run(time_point until)
    {
        pool.run(scheduler, until, true);
        for (; next_seen_call < pool.next_call; ++next_seen_call)
        {
            auto const call = pool.calls.find(next_seen_call);
            if (call == pool.calls.end())
                continue;
            for (auto const& it : call->second.pieces)
                started.emplace(it.request, pool.now);
        }
    }

    // Number of pieces with this due time that started in time.
    int on_time(duration due_in, int& all) const
    {
        int out = 0;
        all = 0;
        for (auto const& it : due_times)
        {
            if (it.second != due_in)
                continue;
            ++all;
            auto const at = started.find(it.first);
            out +=
                at != started.end() && at->second <= due.at(it.first) ? 1 : 0;
        }
        return out;
    }

    fake_pool pool{5};
    stage_scheduler scheduler{"s"};
    request_ref request = 1;
    call_ref next_seen_call = 1;
    std::map<request_ref, time_point> due;
    std::map<request_ref, duration> due_times;
    std::map<request_ref, time_point> started;
};

// Load of 1.5 times the capacity, a tenth of it urgent. Urgent pieces must not
// wait behind less urgent ones: all of them start in time, and their forecast
// ignores the others.
TEST(stage_scheduler, starts_urgent_pieces_on_time_under_overload)
{
    overloaded_pool it;
    constexpr duration urgent = 600ms;
    constexpr duration patient = 3s;
    constexpr int pieces = pool_pieces_per_s * 3 / 2 * 4;
    duration longest{};
    duration longest_urgent{};
    for (int n = 0; n < pieces; ++n)
    {
        it.run(start + duration(4s) * n / pieces);
        it.submit_tracked(n % 10 == 0 ? urgent : patient);
        auto const waits =
            it.scheduler.expected_waits(it.pool.runners, it.pool.now);
        longest = std::max(longest, waits.longest());
        longest_urgent = std::max(longest_urgent, waits.at({}, urgent));
    }
    it.run_for(20s);
    int all = 0;
    EXPECT_EQ(it.on_time(urgent, all), all);
    EXPECT_GT(all, 0);
    EXPECT_GT(longest, 1s);
    EXPECT_LT(longest_urgent, 500ms);
}

// Load of 1.5 times the capacity. If late pieces were dispatched first, all
// pieces would be late. At least three quarters of what the runners can process
// has to start in time.
TEST(stage_scheduler, defers_late_pieces_behind_those_that_can_be_on_time)
{
    overloaded_pool it;
    constexpr duration due_in = 500ms;
    constexpr int seconds = 6;
    constexpr int pieces = pool_pieces_per_s * 3 / 2 * seconds;
    for (int n = 0; n < pieces; ++n)
    {
        it.run(start + duration(std::chrono::seconds(seconds)) * n / pieces);
        it.submit_tracked(due_in);
    }
    it.run_for(20s);
    int all = 0;
    EXPECT_GE(it.on_time(due_in, all), pool_pieces_per_s * seconds * 3 / 4);
    // Late pieces are either started or dropped early enough for their callers
    // to retry.
    EXPECT_EQ(int(it.started.size()) + it.pool.outcomes[piece_outcome::late],
              all);
}

// Calm load of two failure domains, half of what the runners can process. Some
// pieces always wait for a runner in their domain; calls that leave them behind
// were taken for the largest that are possible, so that a service with half of
// its capacity free counted as full.
TEST(stage_scheduler, does_not_take_waiting_for_a_domain_for_lack_of_room)
{
    fake_pool pool(5);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    constexpr int pieces = pool_pieces_per_s / 2 * 4;
    for (int n = 0; n < pieces; ++n)
    {
        pool.run(scheduler, start + duration(4s) * n / pieces, true);
        auto work =
            make_piece(request_ref(n + 1), n % 2 == 0 ? "north" : "south");
        scheduler.submit("vm", {std::move(work)}, pool.now);
        pool.dispatch(scheduler, true);
    }
    announced_stage announced;
    announced.service = "s";
    announced.request = pieces + 1;
    announced.pieces = pool_pieces_per_s;
    announced.due_in = 1s;
    scheduler.announce("vm", announced, pool.now);
    EXPECT_LT(scheduler.expected_waits(pool.runners, pool.now).at({}, 1s),
              1500ms);
}

// More would be admitted than a later stage can process if its forecast did not
// count the pieces that are on their way.
TEST(stage_scheduler, counts_announced_pieces_until_they_are_submitted)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    announced_stage announced;
    announced.service = "s";
    announced.request = 1;
    announced.pieces = 220;
    announced.due_in = 1s;
    auto const wait = [&]
    { return scheduler.expected_waits(pool.runners, start).longest(); };
    scheduler.announce("vm", announced, start);
    EXPECT_GT(wait(), 3s);
    EXPECT_EQ(scheduler.waiting(), 0U);
    scheduler.submit("vm", {make_piece(1)}, start);
    EXPECT_LT(wait(), 1s);
    announced.request = 2;
    scheduler.announce("vm", announced, start);
    EXPECT_GT(wait(), 3s);
    scheduler.withdraw("vm", {2});
    EXPECT_LT(wait(), 1s);
}

// More urgent pieces arrive at the capacity of the pool, and none is queued at
// this instant. The forecast of the rank behind promised it all of the capacity
// at the beginning of a flood.
TEST(stage_scheduler, expects_more_urgent_arrivals_while_none_is_queued)
{
    fake_pool pool(5);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    announced_stage announced;
    announced.service = "s";
    announced.request = 1;
    announced.pieces = pool_pieces_per_s;
    announced.priority.route_rank = 1;
    announced.due_in = 1s;
    scheduler.announce("vm", announced, pool.now);
    auto const wait = [&]
    {
        return scheduler.expected_waits(pool.runners, pool.now)
            .at(announced.priority, 1s);
    };
    auto const calm = wait();
    for (request_ref n = 2; n < 2 + 4 * pool_pieces_per_s; ++n)
    {
        scheduler.submit("vm", {make_piece(n)}, pool.now);
        scheduler.withdraw("vm", {n});
    }
    EXPECT_GT(to_seconds(wait()), 1.8 * to_seconds(calm));
}

TEST(wait_profile, gives_the_wait_of_what_is_due_sooner)
{
    wait_profile it;
    it.waits = {0s, 1s, 2s, 3s, 4s, 5s};
    EXPECT_EQ(it.at(-1s), 0s);
    EXPECT_EQ(it.at(0s), 0s);
    EXPECT_EQ(it.at(1ms), 1s);
    EXPECT_EQ(it.at(500ms), 2s);
    EXPECT_EQ(it.at(4s), 5s);
    EXPECT_EQ(it.at(9s), 5s);
    EXPECT_EQ(it.longest(), 5s);
}

} // namespace
} // namespace buckthornvale::decision::gateway
