#include <buckthornvale/decision/gateway/return_delay.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

TEST(return_delay, is_not_before_room_is_expected)
{
    EXPECT_EQ(return_delay({6s, 800ms, 0}), 800ms);
}

// A crowd that is refused at one moment returned within a second, into the same
// overload.
TEST(return_delay, spreads_a_crowd_over_the_time_that_it_can_wait)
{
    EXPECT_EQ(return_delay({21s, 1s, 0.5}), 4s);
    EXPECT_EQ(return_delay({21s, 1s, 1}), 7s);
}

TEST(return_delay, leaves_time_for_the_answer)
{
    EXPECT_EQ(return_delay({3s, 5s, 0}), 750ms);
    EXPECT_EQ(return_delay({3s, 5s, 1}), 1s);
}

TEST(return_delay, is_positive_without_time_left)
{
    EXPECT_EQ(return_delay({0s, 0s, 0.5}), 100ms);
    EXPECT_EQ(return_delay({-1s, 0s, 0.5}), 100ms);
}

} // namespace
} // namespace buckthornvale::decision::gateway
