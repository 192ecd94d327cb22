#include "support/runner_fixture.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::serving::tests
{
namespace
{

using requests::attempt_outcome;

class engine_standin_test : public testing::Test
{
protected:
    engine_standin_test() : engine(one_slot(), own())
    {
        EXPECT_TRUE(engine.start());
        hold_next();
        start(1, decision::rank::standard);
        EXPECT_TRUE(eventually([&] { return engine.running() == 1; }));
    }

    //! The next call holds the one slot until it is cancelled.
    void hold_next()
    {
        standins::faults hold;
        hold.delay_ms = 50000;
        hold.only_calls = 1;
        engine.set_faults(hold);
    }

    void start(std::uint64_t counter, decision::rank priority)
    {
        auto attempt = attempt_of(counter, decision::runner_kind::engine);
        attempt.port = engine.port();
        attempt.priority = priority;
        attempt.model = "large";
        pool.start(attempt);
    }

    static standins::standin_settings one_slot()
    {
        standins::standin_settings settings;
        settings.slots = 1;
        return settings;
    }

    static standins::engine_settings own()
    {
        standins::engine_settings settings;
        settings.cold_start_ms = 1;
        return settings;
    }

    standins::engine engine;
    fake_listener listener;
    upstream::upstream_pool pool{{}, listener};
};

// Guards against a stand-in that ignores priorities, which would hide an error
// in the ranks of attempts.
TEST_F(engine_standin_test, runs_the_most_urgent_waiting_call_first)
{
    start(2, decision::rank::background);
    ASSERT_TRUE(eventually([&] { return engine.queued() == 1; }));
    hold_next();
    start(3, decision::rank::urgent);
    ASSERT_TRUE(eventually([&] { return engine.queued() == 2; }));
    pool.cancel({{1, 1}, {}});
    ASSERT_TRUE(eventually([&] { return engine.executed().total() == 2; }));
    auto const counts = engine.executed().to_json();
    auto const id = [](std::uint64_t n) {
        return decision::to_text(decision::attempt_id{1, n});
    };
    EXPECT_NE(counts.find(id(3)), std::string::npos) << counts;
    EXPECT_EQ(counts.find(id(2)), std::string::npos) << counts;
    pool.cancel({{1, 3}, {}});
    listener.ends.at(2);
    EXPECT_EQ(engine.executed().total(), 3U);
    EXPECT_EQ(engine.store().models(), std::vector<std::string>{"large"});
}

// Guards against a call that runs although it was cancelled in the queue.
TEST_F(engine_standin_test, does_not_run_a_call_cancelled_in_its_queue)
{
    start(2, decision::rank::urgent);
    ASSERT_TRUE(eventually([&] { return engine.queued() == 1; }));
    pool.cancel({{1, 2}, {}});
    ASSERT_TRUE(eventually([&] { return engine.queued() == 0; }));
    EXPECT_EQ(listener.ends.at(0).result, attempt_outcome::cancelled);
    EXPECT_EQ(engine.executed().total(), 1U);
    pool.cancel({{1, 1}, {}});
    EXPECT_TRUE(eventually([&] { return engine.running() == 0; }));
}

} // namespace
} // namespace buckthornvale::serving::tests
