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

engine_request request_of(absl::Span<prompt_part const> prompt,
                          std::uint64_t seed = 1)
{
    engine_request out;
    out.prompt = prompt;
    out.seed = seed;
    return out;
}

runner_choice choose(pool const& from, engine_request const& work,
                     time_point now = start, double cache_tokens = 1e6)
{
    return choose_engine_runner(from.runners, work, {8, cache_tokens}, {}, now);
}

//! Sends the request to its runner.
runner_state* send(pool const& to, request_ref ref, engine_request const& work)
{
    auto const choice = choose(to, work);
    ++choice.runner->outstanding;
    choice.runner->engine.sent(ref, work, choice.expected, start);
    return choice.runner;
}

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
        EXPECT_EQ(choose(it, request_of(first, 1)).runner,
                  choose(it, request_of(next, 2)).runner);
    }
}

// A popular session must not overload its runner.
TEST(runner_choice, moves_a_session_when_its_runner_is_loaded)
{
    pool it(10, 1000);
    std::vector<prompt_part> const prompt = {{1, 100}, {2, 50}, {3, 5}};
    for (int n = 0; n < 200; ++n)
        ++choose(it, request_of(prompt)).runner->outstanding;
    for (auto const& state : it.states)
        EXPECT_LE(state->outstanding, 45U);
}

// Guards against sessions that wander, and are read anew, because their runner
// is somewhat slower than others.
TEST(runner_choice, keeps_a_session_while_the_difference_is_small)
{
    pool it(10);
    std::vector<prompt_part> const prompt = {{1, 6000}, {2, 300}, {3, 2890}};
    auto* home = choose(it, request_of(prompt)).runner;
    for (auto* runner : it.runners)
        runner->engine.report({0, 0, 8, runner == home ? 1.7 : 0.7}, start);
    EXPECT_EQ(choose(it, request_of(prompt)).runner, home);
}

// Guards against prompts that queue at a runner whose work takes several times
// as long as elsewhere.
TEST(runner_choice, moves_a_session_from_a_slow_runner)
{
    pool it(10);
    std::vector<prompt_part> const prompt = {{1, 6000}, {2, 300}, {3, 2890}};
    auto* home = choose(it, request_of(prompt)).runner;
    for (int n = 0; n < 10; ++n)
        home->engine.report({0, 0, 8, 6.0}, start);
    EXPECT_NE(choose(it, request_of(prompt)).runner, home);
    EXPECT_EQ(choose(it, request_of(prompt), start + 30s).runner, home);
}

// Guards against a short prompt that waits behind long ones while other runners
// have nothing to read.
TEST(runner_choice, places_a_short_prompt_away_from_long_ones)
{
    pool it(10);
    std::vector<prompt_part> const short_prompt = {{1, 100}, {2, 70}, {3, 500}};
    auto* home = choose(it, request_of(short_prompt)).runner;
    std::vector<prompt_part> const long_prompt = {{4, 9000}};
    auto const work = request_of(long_prompt);
    for (request_ref ref = 1; ref <= 2; ++ref)
        home->engine.sent(
            ref, work, home->engine.expect(work, false, {}, {}, start), start);
    EXPECT_NE(choose(it, request_of(short_prompt)).runner, home);
    for (request_ref ref = 1; ref <= 2; ++ref)
        home->engine.started(ref, start + 100ms);
    EXPECT_EQ(choose(it, request_of(short_prompt), start + 60s).runner, home);
}

// A runner that holds more than its memory is lost with all its requests.
TEST(runner_choice, never_exceeds_the_memory_of_a_runner)
{
    pool it(3, 1000);
    constexpr double cache_tokens = 10'000;
    std::vector<prompt_part> const prompt = {{1, 1000}, {2, 1000}, {3, 2000}};
    auto const work = request_of(prompt);
    request_ref ref = 0;
    while (auto* runner = choose(it, work, start, cache_tokens).runner)
    {
        ASSERT_LT(ref, 100U);
        runner->engine.sent(++ref, work, {}, start);
    }
    // The shared parts are held once: 2000 and 4 times 2000 tokens.
    EXPECT_EQ(ref, 12U);
    for (auto const& state : it.states)
        EXPECT_LE(state->engine.own_held_tokens(), cache_tokens);
    it.states[1]->engine.ended(ref);
    it.states[0]->engine.ended(ref);
    it.states[2]->engine.ended(ref);
    EXPECT_NE(choose(it, work, start, cache_tokens).runner, nullptr);
}

// VMs that hear the same of the runners must not all choose the one that looks
// best.
TEST(runner_choice, spreads_sessions_that_leave_loaded_runners)
{
    pool it(20, 1000);
    for (std::size_t n = 0; n < 10; ++n)
        it.states[n]->engine.report({40, 20, 1000}, start);
    for (std::size_t n = 10; n < 20; ++n)
        it.states[n]->engine.report({n == 10 ? 0U : 4U, 0, 1000}, start);
    std::map<runner_state*, int> chosen;
    for (std::uint64_t session = 100; session < 1100; ++session)
    {
        std::vector<prompt_part> const prompt = {{session, 100}, {3, 2000}};
        ++chosen[choose(it, request_of(prompt)).runner];
    }
    for (std::size_t n = 0; n < 10; ++n)
        EXPECT_EQ(chosen[it.runners[n]], 0);
    for (std::size_t n = 10; n < 20; ++n)
        EXPECT_LT(chosen[it.runners[n]], 200);
}

// Guards against a runner that gets, or loses, all requests by what it says.
TEST(runner_choice, survives_absurd_reports_and_prompts)
{
    pool it(20, 1000);
    it.states[0]->engine.report({0, 0, 0, 1e-300}, start);
    it.states[1]->engine.report({1024, 1024, 0, 1e300}, start);
    std::vector<prompt_part> const prompt = {
        {1, 1e308}, {2, 1e308}, {3, 1e308}};
    auto const work = request_of(prompt);
    auto* state = send(it, 1, work);
    ASSERT_NE(state, nullptr);
    state->engine.ended(1);
    EXPECT_EQ(state->engine.own_held_tokens(), 0);
    EXPECT_EQ(state->engine.own_unread_tokens(), 0);
    std::map<runner_state*, int> chosen;
    for (std::uint64_t session = 100; session < 500; ++session)
    {
        std::vector<prompt_part> const other = {{session, 100}, {3, 2000}};
        ++chosen[choose(it, request_of(other)).runner];
    }
    EXPECT_LT(chosen[it.runners[0]], 100);
    for (auto const& runner : it.runners)
        EXPECT_LE(runner->engine.slowdown(start), 8);
}

// Guards against a request without a runner because the one whose share of a
// limit is unused has no memory.
TEST(runner_choice, takes_another_when_the_preferred_has_no_memory)
{
    pool it(3);
    std::vector<prompt_part> const prompt = {{1, 100}, {2, 50}, {3, 700}};
    auto const work = request_of(prompt);
    auto* home = choose(it, work).runner;
    auto* preferred = it.runners[home == it.runners[0] ? 1 : 0];
    auto const choose_preferred = [&]
    {
        return choose_engine_runner(it.runners, work, {8, 1000}, {}, start,
                                    preferred);
    };
    EXPECT_EQ(choose_preferred().runner, preferred);
    // It is not the first one of the session, which others send to.
    EXPECT_DOUBLE_EQ(choose_preferred().expected.unread_tokens, 850);
    preferred->engine.sent(1, work, {}, start);
    EXPECT_EQ(choose_preferred().runner, home);
}

// Guards against a second runner that counts as having read the prompts of a
// session which the first one refuses.
TEST(runner_choice, another_runner_has_to_read_what_the_first_refused)
{
    pool it(3);
    std::vector<prompt_part> const prompt = {{1, 100}, {2, 50}, {3, 700}};
    auto work = request_of(prompt);
    EXPECT_DOUBLE_EQ(choose(it, work).expected.unread_tokens, 700);
    work.was_sent = true;
    EXPECT_DOUBLE_EQ(choose(it, work).expected.unread_tokens, 850);
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
    EXPECT_EQ(choose_engine_runner({}, {}, {}, {}, start).runner, nullptr);
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
