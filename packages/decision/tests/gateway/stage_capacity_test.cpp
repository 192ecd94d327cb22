#include <buckthornvale/decision/gateway/stage_capacity.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

stage_capacity make_capacity()
{
    stage_capacity out;
    out.slots = 2;
    out.batch = 10;
    out.short_call = 200ms;
    out.batch_call = 300ms;
    out.max_pieces_per_s = 60;
    return out;
}

TEST(stage_capacity, lets_a_piece_start_at_once_on_a_free_runner)
{
    EXPECT_EQ(make_capacity().wait_behind(0, 0), 0s);
}

TEST(stage_capacity, waits_for_a_running_call_if_no_runner_is_free)
{
    auto it = make_capacity();
    it.has_free_slot = false;
    EXPECT_EQ(it.wait_behind(0, 0), 100ms);
}

TEST(stage_capacity, waits_for_the_calls_of_the_pieces_ahead)
{
    EXPECT_EQ(make_capacity().wait_behind(40, 0), 600ms);
}

// Requests were admitted and then late, because more urgent ones that arrived
// after them were served first.
TEST(stage_capacity, waits_longer_while_more_urgent_pieces_arrive)
{
    constexpr double rounding_s = 1e-6;
    EXPECT_NEAR(to_seconds(make_capacity().wait_behind(40, 15)), 0.8,
                rounding_s);
}

// A short burst of urgent pieces must not refuse all others.
TEST(stage_capacity, leaves_a_share_to_less_urgent_pieces)
{
    EXPECT_EQ(make_capacity().wait_behind(40, 1000), 1200ms);
}

// Two slots that start ten pieces every 150 ms: a tenth is a place each 150 ms.
TEST(stage_capacity, waits_for_the_places_of_a_rank)
{
    EXPECT_EQ(make_capacity().wait_in_share(0, 0.1), 300ms);
    EXPECT_EQ(make_capacity().wait_in_share(3, 0.1), 750ms);
}

} // namespace
} // namespace buckthornvale::decision::gateway
