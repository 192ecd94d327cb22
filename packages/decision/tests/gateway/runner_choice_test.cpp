#include <buckthornvale/decision/gateway/runner_choice.hpp>

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

struct pool
{
    explicit pool(std::size_t n, std::uint32_t slots = 8)
    {
        for (std::size_t i = 0; i < n; ++i)
        {
            states.push_back(std::make_unique<runner_state>());
            states.back()->entry.id = "r-" + std::to_string(i);
            states.back()->entry.slots = slots;
            runners.push_back(states.back().get());
        }
    }

    std::vector<std::unique_ptr<runner_state>> states;
    std::vector<runner_state*> runners;
};

// Requests of one session go to one runner, so that their prompt is processed
// only once.
TEST(runner_choice, keeps_a_session_on_one_runner)
{
    pool it(10);
    for (std::uint64_t session = 0; session < 50; ++session)
    {
        std::vector<prompt_part> const first = {
            {1, 100}, {session, 50}, {7, 5}};
        std::vector<prompt_part> const next = {{1, 100}, {session, 50}, {8, 5}};
        EXPECT_EQ(choose_engine_runner(it.runners, {first, 1}, start),
                  choose_engine_runner(it.runners, {next, 2}, start));
    }
}

// A popular session must not overload its runner.
TEST(runner_choice, moves_a_session_when_its_runner_is_loaded)
{
    pool it(10, 1000);
    std::vector<prompt_part> const prompt = {{1, 100}, {2, 50}, {3, 5}};
    for (int n = 0; n < 200; ++n)
        ++choose_engine_runner(it.runners, {prompt, 1}, start)->outstanding;
    for (auto const& state : it.states)
        EXPECT_LE(state->outstanding, 45U);
}

// VMs must not all choose the one runner that looks idle.
TEST(runner_choice, spreads_service_requests_and_prefers_the_less_loaded)
{
    pool it(4);
    it.states[0]->outstanding = 30;
    std::map<runner_state*, int> chosen;
    for (std::uint64_t n = 0; n < 4000; ++n)
        ++chosen[choose_service_runner(it.runners, n * 0x9e3779b97f4a7c15U, "",
                                       start)];
    EXPECT_LT(chosen[it.runners[0]], 200);
    for (std::size_t i = 1; i < 4; ++i)
        EXPECT_GT(chosen[it.runners[i]], 700);
}

TEST(runner_choice, returns_null_without_runners)
{
    EXPECT_EQ(choose_service_runner({}, 1, "", start), nullptr);
    EXPECT_EQ(choose_engine_runner({}, {}, start), nullptr);
}

// A reported load must not be used after it has expired.
TEST(runner_choice, ignores_an_old_load_report)
{
    runner_state state;
    state.load = runner_load{5, 2, 8};
    state.load_at = start;
    EXPECT_DOUBLE_EQ(estimated_load(state, start), 7);
    EXPECT_DOUBLE_EQ(estimated_load(state, start + 1s), 0);
}

} // namespace
} // namespace buckthornvale::decision::gateway
