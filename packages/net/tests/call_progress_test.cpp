#include <buckthornvale/net/call_progress.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::net
{
namespace
{

using namespace std::chrono_literals;

constexpr duration timeout = 500ms;
constexpr transfer_pace pace = {1s, 10'000};
constexpr time_point start = time_point(100s);

call_progress started(std::optional<transfer_pace> const& used_pace)
{
    call_progress out;
    out.start(timeout, used_pace, start);
    return out;
}

// Guards against a whole answer that is given up although it is on its way: on
// a slow link, a VM asked for the same large answer again and again.
TEST(call_progress, lets_an_answer_go_on_that_arrives)
{
    auto progress = started(pace);
    for (auto at = start + 400ms; at < start + 20s; at += 400ms)
    {
        progress.received(50'000, at);
        EXPECT_FALSE(progress.is_overdue(at + 390ms));
    }
}

// Guards against a lost answer that is noticed too late.
TEST(call_progress, ends_a_call_whose_answer_does_not_begin)
{
    auto const progress = started(pace);
    EXPECT_FALSE(progress.is_overdue(start + timeout - 1ms));
    EXPECT_TRUE(progress.is_overdue(start + timeout));
}

TEST(call_progress, ends_an_answer_that_falls_silent)
{
    auto progress = started(pace);
    progress.received(1'000'000, start + 300ms);
    EXPECT_FALSE(progress.is_overdue(start + 1299ms));
    EXPECT_TRUE(progress.is_overdue(start + 1300ms));
}

// A trickle would hold the call for ever.
TEST(call_progress, ends_an_answer_that_comes_too_slowly)
{
    auto progress = started(pace);
    auto at = start;
    for (; at < start + 10s && !progress.is_overdue(at); at += 100ms)
        progress.received(10, at);
    EXPECT_GT(at, start + 1s);
    EXPECT_LT(at, start + 2s);
}

// The timeout of other calls must not depend on what arrives.
TEST(call_progress, without_a_pace_bounds_the_whole_call)
{
    auto progress = started(std::nullopt);
    progress.sent(1'000'000);
    progress.received(1000, start + 400ms);
    EXPECT_FALSE(progress.is_sending());
    EXPECT_TRUE(progress.is_overdue(start + timeout));
}

// A VM counted as unreachable while messages to it were on a slow link.
TEST(call_progress, waits_for_the_answer_from_the_end_of_a_long_request)
{
    auto progress = started(pace);
    progress.sent(100'000);
    ASSERT_TRUE(progress.is_sending());
    auto at = start;
    for (std::size_t n = 90'000; progress.is_sending(); n -= 10'000)
    {
        at += 400ms;
        progress.note_unacknowledged(n, at);
        EXPECT_FALSE(progress.is_overdue(at + timeout - 1ms));
    }
    EXPECT_TRUE(progress.is_overdue(at + timeout));
}

TEST(call_progress, ends_a_long_request_that_is_not_taken)
{
    auto progress = started(pace);
    progress.sent(100'000);
    progress.note_unacknowledged(50'000, start + 100ms);
    progress.note_unacknowledged(50'000, start + 500ms);
    EXPECT_FALSE(progress.is_overdue(start + 599ms));
    EXPECT_TRUE(progress.is_overdue(start + 600ms));
}

// A short request is in the buffers of the kernel at once, whether the server
// lives or not.
TEST(call_progress, does_not_wait_longer_after_a_short_request)
{
    auto progress = started(pace);
    progress.sent(1000);
    EXPECT_FALSE(progress.is_sending());
    EXPECT_TRUE(progress.is_overdue(start + timeout));
}

} // namespace
} // namespace buckthornvale::net
