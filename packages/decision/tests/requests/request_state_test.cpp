#include <buckthornvale/decision/requests/request_state.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::requests
{
namespace
{

// Guards against prefix hashes that differ from those in the engines' cache
// events, which would make the events useless for cache affinity.
TEST(prefix_blocks, are_the_stable_hashes_of_the_prefixes)
{
    std::string const input(700, 'x');
    auto const blocks = prefix_blocks_of(input);
    ASSERT_EQ(blocks.size(), 2u);
    EXPECT_EQ(blocks[0], stable_hash(std::string(256, 'x')));
    EXPECT_EQ(blocks[1], stable_hash(std::string(512, 'x')));
}

request_state three_stage_request()
{
    pipeline_settings pipeline;
    pipeline.name = "p";
    pipeline.stages.resize(3);
    pipeline.stages[0].name = "encode";
    pipeline.stages[1].name = "book";
    pipeline.stages[1].after = {"encode"};
    pipeline.stages[1].repeatable = false;
    pipeline.stages[2].name = "confirm";
    pipeline.stages[2].after = {"book"};
    request_state request;
    request.graph = std::make_shared<stage_graph>(pipeline);
    request.stages.resize(3);
    return request;
}

// Guards against wasted work: stages before a booking whose result is already
// known must not run again.
TEST(needed_stages, leave_out_inputs_of_a_known_result)
{
    auto request = three_stage_request();
    request.stages[1].phase = stage_phase::done;
    mark_needed_stages(request);
    EXPECT_EQ(request.stages[0].phase, stage_phase::unneeded);
    EXPECT_EQ(request.stages[2].phase, stage_phase::waiting);
    EXPECT_FALSE(is_startable(request, 0));
    EXPECT_TRUE(is_startable(request, 2));
}

// Guards against a stage that starts before its input is available.
TEST(needed_stages, start_in_the_order_of_the_graph)
{
    auto request = three_stage_request();
    mark_needed_stages(request);
    EXPECT_TRUE(is_startable(request, 0));
    EXPECT_FALSE(is_startable(request, 1));
    EXPECT_FALSE(is_startable(request, 2));
}

} // namespace
} // namespace buckthornvale::decision::requests
