#include <buckthornvale/decision/gateway/crash_judge.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

crash_suspect part(std::uint64_t id)
{
    return {suspect_kind::prompt_part, 1, id};
}

constexpr crash_suspect path = {suspect_kind::path, 1, 50};

//! A judge that hears of crashes with two lost runs each, one second apart.
class crash_judge_test : public testing::Test
{
protected:
    void crash(std::vector<crash_suspect> const& suspects, duration after = 1s)
    {
        now += after;
        auto const runner = "runner-" + std::to_string(++crashes);
        judge.record_lost_run({runner, true, suspects}, now);
        judge.record_lost_run({runner, false, {}}, now);
        // The service goes on with other requests.
        judge.record_answered({part(99)}, now);
    }

    std::vector<crash_verdict> blamed(std::vector<crash_suspect> blocked = {})
    {
        judge.take_accused(blocked, now);
        return judge.take_blamed(blocked, 0s, now);
    }

    crash_judge judge;
    time_point now = start;
    int crashes = 0;
};

TEST_F(crash_judge_test, blames_the_part_that_three_crashes_share)
{
    crash({part(1), part(10)});
    crash({part(1), part(11)});
    EXPECT_TRUE(blamed().empty());
    crash({part(1), part(12)});
    auto const found = blamed();
    ASSERT_EQ(found.size(), 1U);
    EXPECT_TRUE(found[0].suspect == part(1));
    EXPECT_EQ(found[0].first_crash_age, 2s);
    EXPECT_EQ(found[0].last_crash_age, 0s);
}

TEST_F(crash_judge_test, does_not_blame_what_answered_runs_share)
{
    for (int n = 0; n < 10; ++n)
    {
        crash({part(1)});
        judge.record_answered({part(1)}, now);
    }
    EXPECT_TRUE(blamed().empty());
}

// Guards against blame for each part of a request at once: which one it is
// shows when requests differ in the others.
TEST_F(crash_judge_test, waits_while_two_suspects_explain_as_much)
{
    for (int n = 0; n < 3; ++n)
        crash({part(1), part(2)});
    EXPECT_TRUE(blamed().empty());
    crash({part(1)});
    auto const found = blamed();
    ASSERT_EQ(found.size(), 1U);
    EXPECT_TRUE(found[0].suspect == part(1));
}

TEST_F(crash_judge_test, blames_suspects_that_never_part_after_five_crashes)
{
    for (int n = 0; n < 5; ++n)
        crash({part(1), part(2)});
    EXPECT_EQ(blamed().size(), 2U);
}

TEST_F(crash_judge_test, needs_more_evidence_against_a_path)
{
    for (int n = 0; n < 4; ++n)
        crash({path});
    EXPECT_TRUE(blamed().empty());
    crash({path});
    EXPECT_EQ(blamed().size(), 1U);
}

// Guards against blame for the neighbours of a request that crashes runners.
TEST_F(crash_judge_test, does_not_count_crashes_that_a_blocked_part_explains)
{
    for (int n = 0; n < 6; ++n)
        crash({part(1), part(2)});
    EXPECT_TRUE(blamed({part(1)}).empty());
}

// Guards against blame for a failure of a host that ends several runners.
TEST_F(crash_judge_test, counts_simultaneous_crashes_once)
{
    for (int n = 0; n < 6; ++n)
        crash({part(1)}, 10ms);
    EXPECT_TRUE(blamed().empty());
}

// Guards against blame for connections that sound runners close.
TEST_F(crash_judge_test, does_not_count_a_single_lost_run)
{
    for (auto const* runner : {"a", "b", "c", "d"})
    {
        now += 1s;
        judge.record_lost_run({runner, true, {part(1)}}, now);
        judge.record_answered({part(99)}, now);
    }
    EXPECT_TRUE(blamed().empty());
    for (auto const* runner : {"b", "c", "d"})
        judge.record_unreachable(runner, now);
    EXPECT_EQ(blamed().size(), 1U);
}

// The answers of waiting runs had not begun, so they did not crash the runner.
TEST_F(crash_judge_test, suspects_waiting_runs_only_without_a_begun_one)
{
    for (int n = 0; n < 3; ++n)
    {
        auto const runner = "runner-" + std::to_string(n);
        now += 1s;
        judge.record_lost_run({runner, false, {part(1)}}, now);
        judge.record_lost_run({runner, true, {part(2), part(10 + n)}}, now);
        judge.record_answered({part(99)}, now);
    }
    auto const found = blamed();
    ASSERT_EQ(found.size(), 1U);
    EXPECT_TRUE(found[0].suspect == part(2));
}

TEST_F(crash_judge_test, blames_nothing_while_the_service_answers_nothing)
{
    for (int n = 0; n < 6; ++n)
    {
        now += 1s;
        auto const runner = "runner-" + std::to_string(n);
        judge.record_lost_run({runner, true, {part(1)}}, now);
        judge.record_lost_run({runner, true, {part(1)}}, now);
    }
    EXPECT_TRUE(blamed().empty());
}

TEST_F(crash_judge_test, hears_the_other_vms_first)
{
    for (int n = 0; n < 3; ++n)
        crash({part(1)});
    EXPECT_EQ(judge.take_accused({}, now).size(), 1U);
    EXPECT_TRUE(judge.take_accused({}, now).empty());
    EXPECT_TRUE(judge.take_blamed({}, 400ms, now + 300ms).empty());
    judge.record_answered({part(1)}, now + 350ms);
    EXPECT_TRUE(judge.take_blamed({}, 400ms, now + 400ms).empty());
}

TEST_F(crash_judge_test, forgets_old_crashes_and_is_bounded)
{
    for (std::size_t n = 0; n < 2 * crash_judge::max_crashes; ++n)
        crash({part(n)}, 200ms);
    EXPECT_TRUE(judge.has_evidence());
    judge.expire(now + crash_judge::crash_lifetime + 1s);
    EXPECT_FALSE(judge.has_evidence());
}

} // namespace
} // namespace buckthornvale::decision::gateway
