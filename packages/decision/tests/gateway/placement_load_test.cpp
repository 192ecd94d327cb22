#include "engine_simulation.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

//! Prompts whose sizes differ by a factor of more than ten, at 30 runners whose
//! speeds differ by more than two. A load of 1 keeps most of them busy.
engine_scenario mixed_prompts(double load)
{
    constexpr int runner_count = 30;
    engine_scenario out;
    for (int n = 0; n < runner_count; ++n)
        out.slowdowns.push_back(0.7 + 1.0 * n / (runner_count - 1));
    out.loads = {{"long", 70 * load, 4000, 2300, 2890, 60, 1s, 90},
                 {"medium", 120 * load, 300, 268, 1800, 30, 1s, 200},
                 {"short", 100 * load, 100, 72, 543, 250, 500ms, 150}};
    out.length = 40s;
    return out;
}

engine_simulation simulate(engine_scenario scenario)
{
    engine_simulation out(std::move(scenario));
    out.run();
    return out;
}

// Guards against prompts that pile up at some runners, long ones before short
// ones, while others are idle.
TEST(placement_load, long_and_short_prompts_are_on_time_at_the_same_runners)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        auto scenario = mixed_prompts(1);
        scenario.seed = seed;
        auto const it = simulate(scenario);
        for (auto const* name : {"long", "medium", "short"})
            EXPECT_GE(it.outcome(name).on_time_share(), 0.95)
                << name << " seed " << seed;
    }
}

// Shows what the test above owes to the load model: a count of the own requests
// of each VM does not see the pile.
TEST(placement_load, a_count_of_own_requests_does_not_suffice)
{
    auto scenario = mixed_prompts(1);
    scenario.count_only = true;
    auto const it = simulate(scenario);
    for (auto const* name : {"long", "medium", "short"})
        EXPECT_LT(it.outcome(name).on_time_share(), 0.9) << name;
}

// Guards against sessions that wander when all runners are overloaded, so that
// the fleet spends what is left of it on reading prompts again.
TEST(placement_load, an_overload_does_not_scatter_sessions)
{
    auto const it = simulate(mixed_prompts(1.6));
    EXPECT_LT(it.tokens_read_again(), 0.05 * it.tokens_read());
}

// Guards against prompts that wait at a runner that has become slow and does
// not say so.
TEST(placement_load, prompts_avoid_a_runner_that_became_slow)
{
    auto scenario = mixed_prompts(0.5);
    scenario.later_slowdown = 5;
    auto const it = simulate(scenario);
    for (auto const* name : {"long", "medium", "short"})
        EXPECT_GE(it.outcome(name).on_time_share(), 0.98) << name;
}

} // namespace
} // namespace buckthornvale::decision::gateway
