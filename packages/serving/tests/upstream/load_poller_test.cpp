#include "support/runner_fixture.hpp"
#include <buckthornvale/serving/upstream/load_poller.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace buckthornvale::serving::tests
{
namespace
{

using requests::cache_change;
using requests::runner_cache_changed;
using requests::runner_reported;

struct fake_load_listener : upstream::load_listener
{
    inbox<runner_reported> reports;
    inbox<runner_cache_changed> changes;

    void reported(runner_reported message) override
    {
        reports.add(std::move(message));
    }
    void cache_changed(runner_cache_changed message) override
    {
        changes.add(std::move(message));
    }

    bool saw(std::function<bool(runner_reported const&)> const& wanted)
    {
        return eventually(
            [&]
            {
                auto const all = reports.all();
                return std::any_of(all.begin(), all.end(), wanted);
            });
    }
};

std::unique_ptr<standins::engine> start_engine(std::uint16_t port = 0)
{
    standins::standin_settings settings;
    settings.port = port;
    settings.slots = 3;
    standins::engine_settings own;
    own.models = {"small"};
    own.cache_blocks = 2;
    auto engine = std::make_unique<standins::engine>(settings, own);
    EXPECT_TRUE(engine->start());
    return engine;
}

class load_poller_test : public testing::Test
{
protected:
    void watch(std::vector<std::uint16_t> const& ports)
    {
        std::vector<upstream::polled_runner> runners;
        for (auto const port : ports)
            runners.push_back({id_of(port), "127.0.0.1", port,
                               decision::runner_kind::engine});
        poller.set_runners(runners);
    }

    static decision::runner_id id_of(std::uint16_t port) { return {port}; }

    //! Runs one call whose prompt has `blocks` blocks.
    static void run(std::uint16_t port, char letter, std::size_t blocks)
    {
        fake_listener ended;
        upstream::upstream_pool pool({}, ended);
        auto attempt = attempt_of(1, decision::runner_kind::engine);
        attempt.port = port;
        attempt.input = std::make_shared<std::string const>(
            '"' + std::string(blocks * 256, letter) + '"');
        pool.start(attempt);
        EXPECT_EQ(ended.ends.at(0).result,
                  requests::attempt_outcome::completed);
    }

    fake_load_listener listener;
    upstream::load_poller poller{
        {std::chrono::milliseconds(10), std::chrono::milliseconds(500)},
        listener};
};

// Guards against a report that is taken for another runner's, or whose fields
// are lost.
TEST_F(load_poller_test, reports_load_models_and_leaving)
{
    auto const engine = start_engine();
    watch({engine->port()});
    EXPECT_TRUE(listener.saw(
        [&](runner_reported const& it)
        {
            return it.reachable && it.runner == id_of(engine->port()) &&
                   it.slots == 3. && !it.leaving && it.sequence > 1 &&
                   it.models == std::vector<std::string>{"small"};
        }));
    standins::faults leaving;
    leaving.leaving = true;
    leaving.load_lag_ms = 100;
    engine->set_faults(leaving);
    EXPECT_TRUE(listener.saw([](auto const& it) { return it.leaving; }));
    EXPECT_TRUE(
        listener.saw([](auto const& it) { return it.age.count() > 0; }));
}

// Guards against one frozen runner that stops the reports of the others.
TEST_F(load_poller_test, goes_on_beside_frozen_and_dead_runners)
{
    auto const frozen = start_engine();
    auto const frozen_too = start_engine();
    auto const live = start_engine();
    auto dead = start_engine();
    auto const dead_port = dead->port();
    dead.reset();
    standins::faults freeze;
    freeze.freeze = true;
    frozen->set_faults(freeze);
    frozen_too->set_faults(freeze);
    watch({frozen->port(), frozen_too->port(), live->port(), dead_port});
    for (auto const port : {frozen->port(), dead_port})
        EXPECT_TRUE(listener.saw(
            [&](runner_reported const& it)
            { return it.runner == id_of(port) && !it.reachable; }));
    EXPECT_TRUE(listener.saw(
        [&](runner_reported const& it)
        { return it.runner == id_of(live->port()) && it.sequence > 2; }));
}

// Guards against cache events that are lost without a gap in the numbers, read
// twice, or taken out of order.
TEST_F(load_poller_test, passes_cache_events_on_once_and_shows_gaps)
{
    auto const engine = start_engine();
    standins::faults late;
    late.cache_event_delay_ms = 30;
    late.cache_event_gap = 3;
    engine->set_faults(late);
    watch({engine->port()});
    run(engine->port(), 'a', 1);
    run(engine->port(), 'b', 1);
    run(engine->port(), 'c', 1);
    run(engine->port(), 'd', 1);
    // Events 1 and 2 add, 3 is lost, 4 removes, 5 adds, 6 is lost.
    EXPECT_EQ(listener.changes.at(3).sequence, 5U);
    auto const all = listener.changes.all();
    ASSERT_EQ(all.size(), 4U);
    EXPECT_EQ(all[0].sequence, 1U);
    EXPECT_EQ(all[1].sequence, 2U);
    EXPECT_EQ(all[2].sequence, 4U);
    EXPECT_EQ(all[2].change, cache_change::remove);
    EXPECT_EQ(all[2].blocks, all[0].blocks);
    EXPECT_EQ(all[3].change, cache_change::add);
}

// Guards against a cache index that keeps what a restarted engine lost.
TEST_F(load_poller_test, clears_the_cache_of_a_restarted_engine)
{
    auto engine = start_engine();
    auto const port = engine->port();
    watch({port});
    run(port, 'a', 1);
    EXPECT_EQ(listener.changes.at(0).change, cache_change::add);
    EXPECT_TRUE(listener.saw([](auto const& it) { return it.sequence > 5; }));
    engine.reset();
    engine = start_engine(port);
    EXPECT_EQ(listener.changes.at(1).change, cache_change::clear);
    run(port, 'b', 1);
    auto const added = listener.changes.at(2);
    EXPECT_EQ(added.change, cache_change::add);
    EXPECT_EQ(added.sequence, 1U);
}

} // namespace
} // namespace buckthornvale::serving::tests
