#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;

//! What fits into the buffers of the kernel on both sides, and the largest
//! answer.
constexpr std::size_t max_endless_bytes = 30'000'000;

// A stage runner that sent bytes without end was read until 64 MB were held, on
// VMs that have 120 MB.
TEST_F(fleet_fixture, ends_a_stage_answer_without_end)
{
    auto const engine = add_runner("engine-1", "engine");
    auto const stage = add_runner("stage-1", "stage");
    auto const gateway = start_gateway("vm-0");
    stage->script.emplace_back(
        [](received_request const& in)
        {
            auto out = runner_standin::without_length(in, R"({"items":[)");
            out.close = false;
            out.endless = std::string(65'536, ' ');
            return out;
        });
    auto const answer = exchange(request("POST", "/staged/x", "", 1));
    EXPECT_TRUE(contains(answer, "200 OK")) << answer;
    EXPECT_GT(stage->endless_bytes, 0U);
    EXPECT_LE(stage->endless_bytes, max_endless_bytes);
}

} // namespace
} // namespace buckthornvale::gateway
