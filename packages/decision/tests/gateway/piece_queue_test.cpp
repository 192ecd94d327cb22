#include <buckthornvale/decision/gateway/piece_queue.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

queued_piece make_piece(request_ref request, int route_rank, duration due_in)
{
    queued_piece out;
    out.work.request = request;
    out.work.priority.route_rank = route_rank;
    out.due = start + due_in;
    return out;
}

std::vector<request_ref> requests_of(std::vector<queued_piece> const& pieces)
{
    std::vector<request_ref> out;
    for (auto const& it : pieces)
        out.push_back(it.work.request);
    return out;
}

std::vector<request_ref> requests_of(piece_queue const& queue)
{
    return requests_of({queue.begin(), queue.end()});
}

bool is_even(queued_piece const& it)
{
    return it.work.request % 2 == 0;
}

class piece_queue_of_five : public testing::Test
{
protected:
    piece_queue_of_five()
    {
        for (request_ref n = 1; n <= 5; ++n)
            queue.push(make_piece(n, 0, 1s));
    }

    piece_queue queue;
};

// A flood of a patient class must not go before a more urgent class.
TEST(piece_queue, sorts_by_class_then_by_due_time)
{
    piece_queue queue;
    queue.push(make_piece(1, 1, 100ms));
    queue.push(make_piece(2, 0, 3s));
    queue.push(make_piece(3, 0, 2s));
    queue.sort(start);
    EXPECT_EQ(requests_of(queue), (std::vector<request_ref>{3, 2, 1}));
}

// A piece that cannot be on time must not delay those that can.
TEST(piece_queue, sorts_late_pieces_last)
{
    piece_queue queue;
    queue.push(make_piece(1, 0, -1s));
    queue.push(make_piece(2, 1, 1s));
    queue.sort(start);
    EXPECT_EQ(requests_of(queue), (std::vector<request_ref>{2, 1}));
}

// Results of earlier stages occupy memory and expire.
TEST(piece_queue, does_not_defer_pieces_with_inputs)
{
    auto it = make_piece(1, 0, -1s);
    EXPECT_TRUE(priority_of(it, start).deferred);
    it.work.inputs = {"a/1"};
    EXPECT_FALSE(priority_of(it, start).deferred);
}

TEST_F(piece_queue_of_five, extracts_matching_pieces_and_keeps_the_order)
{
    EXPECT_EQ(requests_of(queue.extract(is_even)),
              (std::vector<request_ref>{2, 4}));
    EXPECT_EQ(requests_of(queue), (std::vector<request_ref>{1, 3, 5}));
}

TEST_F(piece_queue_of_five, takes_the_first_matching_pieces)
{
    std::vector<queued_piece> out;
    queue.take(1, is_even, out);
    EXPECT_EQ(requests_of(out), (std::vector<request_ref>{2}));
    EXPECT_EQ(requests_of(queue), (std::vector<request_ref>{1, 3, 4, 5}));
}

// Each runner takes a batch of a long queue, so visiting all of it each time
// takes most of a scheduler's processor time in a flood.
TEST_F(piece_queue_of_five, does_not_visit_pieces_behind_a_full_batch)
{
    int visited = 0;
    std::vector<queued_piece> out;
    queue.take(
        2,
        [&](queued_piece const&)
        {
            ++visited;
            return true;
        },
        out);
    EXPECT_EQ(visited, 2);
    EXPECT_EQ(requests_of(queue), (std::vector<request_ref>{3, 4, 5}));
}

} // namespace
} // namespace buckthornvale::decision::gateway
