#include <buckthornvale/decision/gateway/engine_load.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr time_point start{100s};

struct sent_prompt
{
    sent_prompt()
    {
        work.prompt = prompt;
        work.output_tokens = 50;
    }

    engine_expectation send(request_ref ref, time_point now)
    {
        auto const out = load.expect(work, false, {}, profile, now);
        load.sent(ref, work, out, now);
        return out;
    }

    std::vector<prompt_part> prompt = {{1, 1000}, {2, 300}, {3, 700}};
    engine_request work;
    engine_profile profile;
    engine_load load;
};

// Guards against load that is counted for requests that have left, or that is
// forgotten while they are there.
TEST(engine_load, counts_own_requests_until_they_end)
{
    sent_prompt it;
    EXPECT_DOUBLE_EQ(it.send(1, start).unread_tokens, 2000);
    EXPECT_DOUBLE_EQ(it.send(2, start).unread_tokens, 700);
    EXPECT_DOUBLE_EQ(it.load.own_unread_tokens(), 2700);
    EXPECT_DOUBLE_EQ(it.load.own_held_tokens(), 1300 + 2 * 750);
    it.load.started(1, start + 50ms);
    EXPECT_DOUBLE_EQ(it.load.own_unread_tokens(), 700);
    it.load.ended(1);
    it.load.ended(1);
    EXPECT_DOUBLE_EQ(it.load.own_held_tokens(), 1300 + 750);
    it.load.ended(2);
    EXPECT_DOUBLE_EQ(it.load.own_unread_tokens(), 0);
    EXPECT_DOUBLE_EQ(it.load.own_held_tokens(), 0);
}

// Guards against a prompt whose parts are assumed to be read for ever.
TEST(engine_load, forgets_read_parts)
{
    sent_prompt it;
    it.send(1, start);
    it.load.ended(1);
    EXPECT_DOUBLE_EQ(it.send(2, start + 5s).unread_tokens, 700);
    it.load.ended(2);
    EXPECT_DOUBLE_EQ(it.send(3, start + 60s).unread_tokens, 2000);
}

// Guards against parts in use that push out those which are read and unused.
TEST(engine_load, limits_only_the_parts_that_no_request_uses)
{
    sent_prompt it;
    it.send(1, start);
    it.load.ended(1);
    for (request_ref ref = 100; ref < 400; ++ref)
    {
        std::vector<prompt_part> const other = {{ref, 100}, {3, 700}};
        engine_request work;
        work.prompt = other;
        it.load.sent(ref, work, {}, start);
    }
    EXPECT_DOUBLE_EQ(it.send(2, start + 1s).unread_tokens, 700);
}

// Guards against sums that drift from zero over the life of a runner.
TEST(engine_load, is_zero_without_requests)
{
    engine_load it;
    engine_request work;
    for (request_ref ref = 1; ref <= 3; ++ref)
    {
        work.prompt_tokens = 0.1 * double(ref);
        it.sent(ref, work, it.expect(work, false, {}, {}, start), start);
    }
    for (request_ref ref = 1; ref <= 3; ++ref)
        it.ended(ref);
    EXPECT_EQ(it.own_held_tokens(), 0);
    EXPECT_EQ(it.own_unread_tokens(), 0);
}

// Guards against VMs that all follow one old report.
TEST(engine_load, replaces_an_old_report_by_the_usual)
{
    engine_load it;
    other_requests const usual{4, 1};
    EXPECT_DOUBLE_EQ(it.others(usual, start).running, 4);
    it.report({20, 6, 48}, start);
    EXPECT_DOUBLE_EQ(it.others(usual, start).running, 20);
    EXPECT_NEAR(it.others(usual, start + 700ms).waiting, 2.84, 0.01);
    EXPECT_NEAR(it.others(usual, start + 10s).running, 4, 0.01);
    EXPECT_FALSE(it.reported_others(start + 10s));
}

// Requests of this VM must not count twice: by themselves and in the report.
TEST(engine_load, subtracts_own_requests_from_a_report)
{
    sent_prompt it;
    it.send(1, start);
    it.send(2, start);
    it.load.started(1, start);
    it.load.report({5, 3, 48}, start);
    EXPECT_DOUBLE_EQ(it.load.others({}, start).running, 4);
    EXPECT_DOUBLE_EQ(it.load.others({}, start).waiting, 2);
    it.load.report({0, 0, 48}, start);
    EXPECT_DOUBLE_EQ(it.load.others({}, start).total(), 0);
}

// Guards against a runner that is avoided for good, or noticed only when it
// answers at last.
TEST(engine_load, notices_a_stalled_runner_and_returns)
{
    sent_prompt it;
    auto const usual = it.send(1, start).usual_time;
    EXPECT_DOUBLE_EQ(it.load.slowdown(start), 1);
    EXPECT_GT(it.load.slowdown(start + 5 * usual), 4);
    it.load.started(1, start + 5 * usual);
    EXPECT_GT(it.load.slowdown(start + 5 * usual), 2);
    EXPECT_NEAR(it.load.slowdown(start + 60s), 1, 0.01);
}

// A runner whose report explains its times must not count as slow twice.
TEST(engine_load, does_not_count_a_reported_slowdown_twice)
{
    sent_prompt it;
    for (int n = 0; n < 50; ++n)
    {
        it.load.report({0, 0, 48, 2.0}, start);
        auto const expected = it.send(1, start);
        it.load.started(1, start + 2 * expected.usual_time);
        it.load.ended(1);
    }
    EXPECT_NEAR(it.load.slowdown(start), 2, 0.1);
}

// The profile has to follow the speed of any engine, from prompts of all sizes.
TEST(engine_profile, learns_the_speed_of_reading)
{
    engine_profile it;
    for (int n = 0; n < 300; ++n)
        for (double const tokens : {500.0, 3000.0, 8000.0})
        {
            it.record_send(tokens);
            it.record_first_event(
                {tokens, from_seconds(2 * (0.05 + tokens / 100'000)), 2});
        }
    EXPECT_NEAR(to_seconds(it.usual_time(500)), 0.055, 0.01);
    EXPECT_NEAR(to_seconds(it.usual_time(8000)), 0.13, 0.02);
}

} // namespace
} // namespace buckthornvale::decision::gateway
