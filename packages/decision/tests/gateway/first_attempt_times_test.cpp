#include <buckthornvale/decision/gateway/first_attempt_times.hpp>

#include <gtest/gtest.h>

#include <chrono>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

// Without a known first attempt, no request may count as a retry.
TEST(first_attempt_times, are_unknown_at_first)
{
    first_attempt_times it;
    EXPECT_EQ(it.time_since_first(1s), duration::zero());
    it.record(6s);
    EXPECT_EQ(it.time_since_first(1s), duration::zero());
}

// Callers differ in patience: a short time left is no proof of a retry.
TEST(first_attempt_times, do_not_count_impatience_as_time_spent)
{
    first_attempt_times it;
    for (auto const time_left : {12800ms, 13700ms, 14300ms, 14900ms})
        it.record(time_left);
    EXPECT_EQ(it.time_since_first(12800ms), duration::zero());
    EXPECT_EQ(it.time_since_first(15s), duration::zero());
}

// Retries must not take the place of requests that can be on time.
TEST(first_attempt_times, estimate_the_time_spent_by_retries)
{
    first_attempt_times it;
    for (int n = 0; n <= 10; ++n)
        it.record(13s + 200ms * n);
    EXPECT_EQ(it.time_since_first(11s), 3s);
}

// Two samples say little about the most impatient callers.
TEST(first_attempt_times, allow_for_callers_beyond_few_samples)
{
    first_attempt_times it;
    it.record(14s);
    it.record(15s);
    EXPECT_EQ(it.time_since_first(13s), duration::zero());
    EXPECT_GT(it.time_since_first(12900ms), duration::zero());
}

} // namespace
} // namespace buckthornvale::decision::gateway
