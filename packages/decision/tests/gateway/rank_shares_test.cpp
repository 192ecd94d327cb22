#include <buckthornvale/decision/gateway/rank_shares.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace buckthornvale::decision::gateway
{
namespace
{

// Pieces of each rank that are taken in calls of this size while each rank has
// more pieces than fit.
rank_counts take_calls(rank_counts const& waiting, std::size_t batch, int calls)
{
    rank_shares shares;
    rank_counts out;
    for (int n = 0; n < calls; ++n)
    {
        rank_counts taken;
        auto left = batch;
        for (auto const& it : shares.places())
        {
            taken[it.first] = std::min(left, it.second);
            left -= taken[it.first];
        }
        taken[waiting.begin()->first] += left;
        shares.record_call(taken, waiting);
        for (auto const& it : taken)
            out[it.first] += it.second;
    }
    return out;
}

// Guards against ranks that get nothing while a more urgent one fills each
// call.
TEST(rank_shares, keeps_places_for_ranks_behind_a_flood)
{
    auto const taken = take_calls({{0, 500}, {1, 500}, {2, 500}}, 16, 100);
    EXPECT_GE(taken.at(1), std::size_t(1600 / 25));
    EXPECT_GE(taken.at(2), std::size_t(1600 / 80));
    EXPECT_GT(taken.at(1), taken.at(2));
    EXPECT_GE(taken.at(0), std::size_t(1600 * 9 / 10));
}

// Calls with few pieces gave no place to a share that was counted call by call.
TEST(rank_shares, keeps_places_in_small_calls)
{
    auto const taken = take_calls({{0, 500}, {1, 500}}, 4, 100);
    EXPECT_GE(taken.at(1), std::size_t(400 / 25));
}

// Guards against places on top of what a rank is served anyway.
TEST(rank_shares, earns_no_places_for_a_rank_that_is_served_anyway)
{
    rank_shares it;
    for (int n = 0; n < 10; ++n)
        it.record_call({{0, 10}, {1, 10}}, {{1, 5}});
    EXPECT_TRUE(it.places().empty());
}

// Guards against places that are kept free for nobody.
TEST(rank_shares, keeps_no_places_for_a_rank_without_pieces)
{
    rank_shares it;
    it.record_call({{0, 50}}, {{0, 1}, {1, 1}});
    EXPECT_EQ(it.places(), (rank_counts{{1, 2}}));
    it.record_call({{0, 50}}, {{0, 1}});
    EXPECT_TRUE(it.places().empty());
}

// A rank that could not use its places, since results filled the runners, would
// fill many calls afterwards.
TEST(rank_shares, bounds_the_places_that_a_rank_saves_up)
{
    rank_shares it;
    for (int n = 0; n < 100; ++n)
        it.record_call({{0, 50}}, {{0, 1}, {1, 1}});
    EXPECT_EQ(it.places(), (rank_counts{{1, 10}}));
}

} // namespace
} // namespace buckthornvale::decision::gateway
