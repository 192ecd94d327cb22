#include <buckthornvale/decision/gateway/queue_forecast.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

dispatch_priority priority_of(int route_rank, int organisation_rank)
{
    return {false, route_rank, organisation_rank};
}

queue_forecast make_forecast()
{
    queue_forecast out;
    out.without_queue = 20ms;
    out.classes = {
        {priority_of(1, 0), {{0s, 0s, 100ms, 200ms, 300ms, 400ms}}, 500ms},
        {priority_of(1, 1), {{1s, 1s, 1s, 1s, 1s, 2s}}, 3s}};
    return out;
}

// A flood of less urgent pieces must not be a reason to refuse urgent ones.
TEST(queue_forecast, ignores_less_urgent_classes)
{
    EXPECT_EQ(make_forecast().at(priority_of(0, 1), 4s), 20ms);
    EXPECT_EQ(make_forecast().at(priority_of(1, 0), 4s), 400ms);
}

TEST(queue_forecast, ignores_pieces_of_the_same_class_that_are_due_later)
{
    EXPECT_EQ(make_forecast().at(priority_of(1, 0), 1s), 200ms);
}

TEST(queue_forecast, includes_all_more_urgent_classes)
{
    EXPECT_EQ(make_forecast().at(priority_of(1, 1), 0s), 1s);
    EXPECT_EQ(make_forecast().at(priority_of(2, 0), 0s), 3s);
    EXPECT_EQ(make_forecast().longest(), 3s);
}

// Requests that cannot be on time yield to all that can.
TEST(dispatch_priority, orders_by_lateness_route_and_organisation)
{
    dispatch_priority const late{true, 0, 0};
    EXPECT_LT(priority_of(0, 1), priority_of(1, 0));
    EXPECT_LT(priority_of(1, 0), priority_of(1, 1));
    EXPECT_LT(priority_of(2, 1), late);
}

} // namespace
} // namespace buckthornvale::decision::gateway
