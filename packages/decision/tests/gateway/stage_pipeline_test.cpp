#include <buckthornvale/decision/gateway/stage_order.hpp>
#include <buckthornvale/decision/gateway/stage_pipeline.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

std::vector<route_stage> three_stages()
{
    return {{"a", {}, 10}, {"b", {0}, 10}, {"c", {1}, 10}};
}

piece_result result_of(std::uint32_t stage, std::uint32_t number,
                       std::string handle)
{
    piece_result out;
    out.stage = stage;
    out.number = number;
    out.outcome = piece_outcome::done;
    out.handle = std::move(handle);
    return out;
}

using numbers = std::vector<std::uint32_t>;
using handles = std::vector<std::string>;

TEST(stage_pipeline, starts_stages_when_their_inputs_are_complete)
{
    stage_pipeline it(three_stages(), numbers{1, 2, 1});
    EXPECT_EQ(it.start_ready_stages(), numbers{0});
    EXPECT_TRUE(it.start_ready_stages().empty());
    EXPECT_TRUE(it.add_result(result_of(0, 0, "h0")));
    EXPECT_EQ(it.start_ready_stages(), numbers{1});
    EXPECT_EQ(it.inputs_of(1), handles{"h0"});
    EXPECT_TRUE(it.add_result(result_of(1, 1, "h11")));
    EXPECT_TRUE(it.start_ready_stages().empty());
    EXPECT_TRUE(it.add_result(result_of(1, 0, "h10")));
    EXPECT_EQ(it.start_ready_stages(), numbers{2});
    EXPECT_EQ(it.inputs_of(2), (handles{"h10", "h11"}));
    EXPECT_FALSE(it.complete());
    EXPECT_TRUE(it.add_result(result_of(2, 0, "h2")));
    EXPECT_TRUE(it.complete());
    EXPECT_EQ(it.final_results(), handles{"h2"});
}

//! Like three_stages(), the last one first.
std::vector<route_stage> stages_backwards()
{
    return {{"c", {1}, 10}, {"b", {2}, 10}, {"a", {}, 10}};
}

// Only stages with a smaller number were waited for.
TEST(stage_pipeline, starts_stages_in_the_order_of_their_results)
{
    stage_pipeline it(stages_backwards(), numbers{1, 1, 2});
    EXPECT_EQ(it.start_ready_stages(), numbers{2});
    it.add_result(result_of(2, 0, "a0"));
    it.add_result(result_of(2, 1, "a1"));
    EXPECT_EQ(it.start_ready_stages(), numbers{1});
    EXPECT_EQ(it.inputs_of(1), (handles{"a0", "a1"}));
    it.add_result(result_of(1, 0, "b"));
    EXPECT_EQ(it.start_ready_stages(), numbers{0});
    EXPECT_EQ(it.inputs_of(0), handles{"b"});
    EXPECT_FALSE(it.complete());
    it.add_result(result_of(0, 0, "c"));
    EXPECT_TRUE(it.complete());
    EXPECT_EQ(it.final_results(), handles{"c"});
}

// A stage without pieces must not hold up one with a smaller number.
TEST(stage_pipeline, passes_a_later_stage_without_pieces_at_once)
{
    stage_pipeline it(stages_backwards(), numbers{1, 1, 0});
    EXPECT_EQ(it.start_ready_stages(), numbers{1});
}

TEST(stage_pipeline, estimates_times_in_the_order_of_results)
{
    std::vector<duration> const times = {100ms, 200ms, 400ms};
    std::vector<duration> const waits = {500ms, 0ms, 0ms};
    stage_pipeline const it(stages_backwards(), numbers{1, 1, 1});
    EXPECT_EQ(it.finish_time(times, waits), 700ms);
    EXPECT_EQ(it.remaining_time(0, times), 100ms);
    EXPECT_EQ(it.remaining_time(1, times), 300ms);
    EXPECT_EQ(it.remaining_time(2, times), 700ms);
}

// Each path through the stages was walked: with 40 of them, for hours.
TEST(stage_pipeline, estimates_the_time_of_many_paths_at_once)
{
    std::vector<route_stage> stages(60);
    for (std::uint32_t n = 0; n < stages.size(); ++n)
        for (std::uint32_t after = 0; after < n; ++after)
            stages[n].after.push_back(after);
    std::vector<duration> const times(stages.size(), 1ms);
    stage_pipeline const it(std::move(stages), numbers());
    EXPECT_EQ(it.remaining_time(0, times), 60ms);
}

TEST(stage_order, is_that_of_the_manifest_where_it_can_run)
{
    EXPECT_EQ(stage_order(three_stages()), (numbers{0, 1, 2}));
    EXPECT_EQ(stage_order(stages_backwards()), (numbers{2, 1, 0}));
    std::vector<route_stage> const mixed = {
        {"a", {}, 1}, {"b", {3}, 1}, {"c", {}, 1}, {"d", {0}, 1}};
    EXPECT_EQ(stage_order(mixed), (numbers{0, 2, 3, 1}));
}

TEST(stage_order, finds_stages_that_can_never_run)
{
    std::vector<route_stage> const cycle = {
        {"a", {}, 1}, {"b", {0, 2}, 1}, {"c", {1}, 1}};
    EXPECT_EQ(check_stages(cycle), route_defect::cycle_of_stages);
    std::vector<route_stage> const itself = {{"a", {0}, 1}};
    EXPECT_EQ(check_stages(itself), route_defect::cycle_of_stages);
    std::vector<route_stage> const missing = {{"a", {1}, 1}};
    EXPECT_EQ(check_stages(missing), route_defect::unknown_stage);
    EXPECT_EQ(check_stages({}), route_defect::none);
}

// A result must not be used twice or taken from an earlier round.
TEST(stage_pipeline, takes_each_result_once)
{
    stage_pipeline it(three_stages(), numbers{1, 1, 1});
    it.start_ready_stages();
    EXPECT_TRUE(it.add_result(result_of(0, 0, "first")));
    EXPECT_FALSE(it.add_result(result_of(0, 0, "second")));
    EXPECT_FALSE(it.add_result(result_of(0, 7, "x")));
    EXPECT_FALSE(it.add_result(result_of(9, 0, "x")));
    EXPECT_FALSE(it.add_result(result_of(1, 0, "not started")));
    it.restart();
    it.start_ready_stages();
    EXPECT_FALSE(it.add_result(result_of(0, 0, "of round 0")));
}

TEST(stage_pipeline, leaves_out_stages_without_pieces)
{
    stage_pipeline it({{"a", {}, 1}, {"b", {}, 1}}, numbers{0, 1});
    EXPECT_EQ(it.start_ready_stages(), numbers{1});
    it.add_result(result_of(1, 0, "h"));
    EXPECT_TRUE(it.complete());
    EXPECT_EQ(it.final_results(), handles{"h"});
    stage_pipeline none({{"a", {}, 1}}, numbers{0});
    EXPECT_TRUE(none.start_ready_stages().empty());
    EXPECT_TRUE(none.complete());
}

// Results must not occupy the runners' memory after their last use, and must
// not be freed while a piece still needs them.
TEST(stage_pipeline, releases_results_once_they_are_read)
{
    stage_pipeline it(three_stages(), numbers{1, 2, 1});
    it.start_ready_stages();
    it.add_result(result_of(0, 0, "h0"));
    it.start_ready_stages();
    EXPECT_TRUE(it.take_unneeded_results().empty());
    piece_result progress;
    progress.stage = 1;
    progress.number = 0;
    it.mark_inputs_read(progress);
    EXPECT_TRUE(it.take_unneeded_results().empty());
    progress.number = 1;
    it.mark_inputs_read(progress);
    auto const unneeded = it.take_unneeded_results();
    ASSERT_EQ(unneeded.size(), 1U);
    EXPECT_EQ(unneeded[0], (std::pair<std::string, std::string>("a", "h0")));
    EXPECT_TRUE(it.take_unneeded_results().empty());
    it.add_result(result_of(1, 0, "h10"));
    EXPECT_EQ(it.take_all_results().size(), 1U);
}

// The queue of a later stage shortens while earlier stages run. Adding its
// whole wait would refuse requests that can be on time.
TEST(stage_pipeline, later_stages_wait_while_earlier_ones_run)
{
    stage_pipeline it(three_stages(), numbers{1, 1, 1});
    std::vector<duration> const times = {300ms, 300ms, 300ms};
    std::vector<duration> const no_waits(3);
    EXPECT_EQ(it.finish_time(times, no_waits), 900ms);
    std::vector<duration> const waits = {0ms, 200ms, 1000ms};
    EXPECT_EQ(it.finish_time(times, waits), 1300ms);
}

} // namespace
} // namespace buckthornvale::decision::gateway
