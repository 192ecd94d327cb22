#include <buckthornvale/decision/routing/router.hpp>

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace buckthornvale::decision::routing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point at(duration since)
{
    return time_point(since);
}

pool_id const pool = pool_id::of("generate");
auto const near = failure_domain_id::of("Hamilton");
auto const far = failure_domain_id::of("Matamata");

//! A router over `n` runners, with the calls that its user makes.
struct router_fixture
{
    explicit router_fixture(std::size_t n, routing_settings settings = {},
                            std::uint64_t seed = 7)
        : route(settings, seed)
    {
        for (std::size_t i = 0; i < n; ++i)
            add(near);
        list();
    }

    void add(failure_domain_id domain)
    {
        auto const name = "runner-" + std::to_string(runners.size());
        runners.push_back({runner_id::of(name), pool, domain, 4.});
    }

    void list() { route.set_runners(pool, runners, now); }

    runner_id id(std::size_t i) const { return runners[i].id; }

    route_query query() const
    {
        route_query result;
        result.pool = pool;
        result.local_domain = near;
        result.expected_work = milliseconds(100);
        return result;
    }

    attempt_id send(runner_id runner, route_query const& query)
    {
        attempt_id const attempt{1, ++attempts};
        route.sent(runner, attempt, query, now);
        return attempt;
    }

    void run(runner_id runner, attempt_result result, duration took)
    {
        auto const attempt = send(runner, query());
        now += took;
        route.finished(attempt, result, took, now);
    }

    //! Counts the choices per runner without sending attempts.
    std::map<runner_id, int> count_choices(int n, route_query const& query)
    {
        std::map<runner_id, int> result;
        for (int i = 0; i < n; ++i)
        {
            if (auto const runner = route.choose(query, now))
                ++result[*runner];
        }
        return result;
    }

    void fail(std::size_t i)
    {
        for (int n = 0; n < 3; ++n)
            run(id(i), attempt_result::failed, milliseconds(1));
    }

    router route;
    std::vector<runner_info> runners;
    std::uint64_t attempts = 0;
    time_point now = at(seconds(100));
};

class every_strategy : public testing::TestWithParam<std::size_t>
{
protected:
    static routing_settings settings()
    {
        routing_settings result;
        result.strategy = static_cast<strategy_kind>(GetParam());
        return result;
    }
};

// Guards against I5: attempts sent to a leaving runner, also when it holds the
// prompt in its cache or is marked before any list contains it.
TEST_P(every_strategy, sends_nothing_to_a_leaving_runner)
{
    router_fixture fixture(4, settings());
    std::vector<std::uint64_t> const blocks = {11, 12, 13, 14};
    auto query = fixture.query();
    query.prefix_blocks = blocks;
    query.adapter = 5;
    fixture.send(fixture.id(0), query);
    fixture.route.set_leaving(fixture.id(0), true, fixture.now);
    fixture.route.set_leaving(runner_id::of("runner-4"), true, fixture.now);
    fixture.add(near);
    fixture.list();
    auto const chosen = fixture.count_choices(500, query);
    EXPECT_EQ(chosen.count(fixture.id(0)), 0U);
    EXPECT_EQ(chosen.count(fixture.id(4)), 0U);
    EXPECT_FALSE(chosen.empty());
}

// Guards against a retry on the runner that failed the first attempt.
TEST_P(every_strategy, never_chooses_an_excluded_runner)
{
    router_fixture fixture(2, settings());
    auto query = fixture.query();
    query.adapter = 5;
    fixture.send(fixture.id(0), query);
    std::vector<runner_id> const tried = {fixture.id(0)};
    query.exclude = tried;
    EXPECT_EQ(fixture.count_choices(200, query)[fixture.id(1)], 200);
    std::vector<runner_id> const all = {fixture.id(0), fixture.id(1)};
    query.exclude = all;
    EXPECT_EQ(fixture.route.choose(query, fixture.now), std::nullopt);
}

// Guards against attempts sent to a runner whose circuit is open.
TEST_P(every_strategy, excludes_a_failing_runner)
{
    router_fixture fixture(3, settings());
    fixture.fail(1);
    EXPECT_EQ(fixture.count_choices(200, fixture.query()).count(fixture.id(1)),
              0U);
}

INSTANTIATE_TEST_SUITE_P(router, every_strategy,
                         testing::Range<std::size_t>(0, strategy_count));

// Guards against a runner that turned slow and keeps its share of the attempts.
TEST(router, opens_the_circuit_of_a_runner_that_turned_slow)
{
    router_fixture fixture(4);
    for (int i = 0; i < 30; ++i)
    {
        for (std::size_t k = 0; k < 4; ++k)
            fixture.run(fixture.id(k), attempt_result::completed,
                        milliseconds(100));
    }
    for (int i = 0; i < 5; ++i)
        fixture.run(fixture.id(2), attempt_result::completed, seconds(1));
    EXPECT_EQ(fixture.route.counters().opened_by_slowness, 1U);
    EXPECT_EQ(fixture.count_choices(100, fixture.query()).count(fixture.id(2)),
              0U);
}

// Guards against a pool without usable runners when all of them turn slow
// together.
TEST(router, keeps_most_of_a_pool_that_is_slow_as_a_whole)
{
    router_fixture fixture(9);
    for (int i = 0; i < 60; ++i)
    {
        auto const took = i < 30 ? milliseconds(100) : milliseconds(2000);
        for (std::size_t k = 0; k < 9; ++k)
            fixture.run(fixture.id(k), attempt_result::completed, took);
    }
    EXPECT_GE(fixture.route.pool_slots(pool, fixture.now), 6 * 4.);
}

// Guards against a runner that keeps its old speed estimate after it recovers,
// or that is excluded for good after a lasting change of speed.
TEST(router, adopts_a_lasting_slowdown_as_the_runners_speed)
{
    router_fixture fixture(4);
    for (int i = 0; i < 30; ++i)
        fixture.run(fixture.id(2), attempt_result::completed,
                    milliseconds(100));
    for (int i = 0; i < 5; ++i)
        fixture.run(fixture.id(2), attempt_result::completed, seconds(1));
    for (int i = 0; i < 5; ++i)
    {
        fixture.now += seconds(60);
        EXPECT_EQ(fixture.route.choose(fixture.query(), fixture.now),
                  fixture.id(2));
        fixture.run(fixture.id(2), attempt_result::completed, seconds(1));
    }
    EXPECT_EQ(fixture.route.counters().closed, 1U);
}

// Guards against a frozen runner, whose attempts never end, that still appears
// as fast as before.
TEST(router, avoids_a_runner_without_progress)
{
    router_fixture fixture(4);
    fixture.send(fixture.id(0), fixture.query());
    fixture.now += seconds(5);
    auto const chosen = fixture.count_choices(300, fixture.query());
    EXPECT_EQ(chosen.count(fixture.id(0)), 0U);
}

// Guards against a probe storm: many requests sent to a runner whose circuit
// has just become half-open.
TEST(router, sends_one_probe_at_a_time)
{
    router_fixture fixture(3);
    fixture.fail(1);
    fixture.now += seconds(10);
    EXPECT_EQ(fixture.route.choose(fixture.query(), fixture.now),
              fixture.id(1));
    auto const probe = fixture.send(fixture.id(1), fixture.query());
    EXPECT_EQ(fixture.count_choices(200, fixture.query()).count(fixture.id(1)),
              0U);
    fixture.route.finished(probe, attempt_result::completed, milliseconds(100),
                           fixture.now);
    fixture.now += seconds(10); // after the warm-up of the returned runner
    EXPECT_GT(fixture.count_choices(2000, fixture.query()).count(fixture.id(1)),
              0U);
    EXPECT_EQ(fixture.route.counters().probes, 1U);
}

// Guards against a recovering failure domain that gets a probe to each of its
// runners at once.
TEST(router, bounds_probes_over_a_pool)
{
    router_fixture fixture(40);
    for (std::size_t i = 0; i < 30; ++i)
        fixture.fail(i);
    fixture.now += seconds(60);
    for (int i = 0; i < 100; ++i)
        fixture.send(*fixture.route.choose(fixture.query(), fixture.now),
                     fixture.query());
    EXPECT_EQ(fixture.route.counters().probes, 3U);
}

// Guards against using a booking or a retry to probe a runner that may be
// broken.
TEST(router, probes_with_repeatable_first_attempts_only)
{
    router_fixture fixture(2);
    fixture.fail(1);
    fixture.now += seconds(10);
    auto booking = fixture.query();
    booking.repeatable = false;
    EXPECT_EQ(fixture.count_choices(50, booking).count(fixture.id(1)), 0U);
    auto retry = fixture.query();
    std::vector<runner_id> const tried = {fixture.id(0)};
    retry.exclude = tried;
    EXPECT_EQ(fixture.route.choose(retry, fixture.now), std::nullopt);
}

// Guards against a deadlock in which admission sees no slots, admits nothing,
// and so never lets through the probe that would close the circuit.
TEST(router, counts_a_slot_for_a_runner_whose_probe_is_due)
{
    router_fixture fixture(1);
    EXPECT_EQ(fixture.route.pool_slots(pool, fixture.now), 4.);
    fixture.fail(0);
    EXPECT_EQ(fixture.route.pool_slots(pool, fixture.now), 0.);
    EXPECT_EQ(fixture.route.choose(fixture.query(), fixture.now), std::nullopt);
    fixture.now += seconds(10);
    EXPECT_EQ(fixture.route.pool_slots(pool, fixture.now), 1.);
}

// Guards against a new runner that all VMs send to at once because it is idle.
TEST(router, ramps_up_a_runner_that_joins)
{
    router_fixture fixture(9);
    fixture.add(near);
    fixture.list();
    EXPECT_EQ(fixture.count_choices(300, fixture.query()).count(fixture.id(9)),
              0U);
    EXPECT_LT(fixture.route.pool_slots(pool, fixture.now), 9 * 4. + 1.);
    fixture.now += seconds(10);
    EXPECT_GT(fixture.count_choices(300, fixture.query())[fixture.id(9)], 0);
}

// Guards against VMs with the same reports that all choose the one idle runner.
TEST(router, spreads_choices_of_vms_with_equal_reports)
{
    std::map<runner_id, int> chosen;
    for (std::uint64_t vm = 0; vm < 64; ++vm)
    {
        router_fixture fixture(20, {}, vm);
        for (std::size_t i = 0; i < 20; ++i)
            fixture.route.report(
                {fixture.id(i), {}, i == 0 ? 0. : 4., 0., 0., 1}, fixture.now);
        ++chosen[*fixture.route.choose(fixture.query(), fixture.now)];
    }
    EXPECT_LT(chosen[runner_id::of("runner-0")], 32);
}

// Guards against needless routing to another failure domain, and against
// staying in the local domain when the other is faster by more than the cost of
// reaching it.
TEST(router, prefers_the_local_domain_only_while_it_is_faster)
{
    routing_settings settings;
    settings.samples = 16;
    router_fixture fixture(0, settings);
    fixture.add(near);
    fixture.add(far);
    fixture.list();
    EXPECT_EQ(fixture.count_choices(100, fixture.query())[fixture.id(0)], 100);
    for (int i = 0; i < 8; ++i)
        fixture.send(fixture.id(0), fixture.query());
    EXPECT_EQ(fixture.count_choices(100, fixture.query())[fixture.id(1)], 100);
}

// Guards against recomputing a prompt that another runner holds in its cache,
// and against overloading the runner that holds it.
TEST(router, follows_the_prefix_until_the_holder_is_busy)
{
    router_fixture fixture(50);
    std::vector<std::uint64_t> const blocks = {21, 22, 23, 24, 25, 26, 27, 28};
    auto query = fixture.query();
    query.prefix_blocks = blocks;
    fixture.send(fixture.id(9), query);
    EXPECT_EQ(fixture.count_choices(100, query)[fixture.id(9)], 100);
    for (int i = 0; i < 12; ++i)
        fixture.send(fixture.id(9), fixture.query());
    EXPECT_EQ(fixture.count_choices(100, query).count(fixture.id(9)), 0U);
}

// Guards against sending prompts to a restarted runner for a cache that it has
// lost.
TEST(router, forgets_the_prefix_of_a_cleared_or_replaced_runner)
{
    router_fixture fixture(50);
    std::vector<std::uint64_t> const blocks = {21, 22, 23, 24};
    auto query = fixture.query();
    query.prefix_blocks = blocks;
    fixture.send(fixture.id(9), query);
    fixture.route.cache_event(fixture.id(9), {1, cache_event_kind::clear, {}},
                              fixture.now);
    EXPECT_LT(fixture.count_choices(100, query)[fixture.id(9)], 50);
    fixture.send(fixture.id(8), query);
    fixture.runners.erase(fixture.runners.begin() + 8);
    fixture.list();
    fixture.add(near);
    fixture.list();
    EXPECT_LT(fixture.count_choices(100, query)[fixture.runners.back().id], 50);
}

// Guards against sending an attempt to a runner that would have to load the
// model first.
TEST(router, chooses_among_runners_that_hold_the_model)
{
    router_fixture fixture(50);
    std::vector<std::uint64_t> const models = {99};
    fixture.route.report_resident(fixture.id(3), models, {}, fixture.now);
    auto query = fixture.query();
    query.model = 99;
    EXPECT_EQ(fixture.count_choices(100, query)[fixture.id(3)], 100);
    query.model = 98;
    EXPECT_GT(fixture.count_choices(100, query).size(), 10U);
}

// Guards against a suspect that shares a runner with other work.
TEST(router, finds_an_idle_runner_for_a_suspect)
{
    router_fixture fixture(3);
    fixture.send(fixture.id(0), fixture.query());
    fixture.send(fixture.id(1), fixture.query());
    auto query = fixture.query();
    query.needs_empty_runner = true;
    EXPECT_EQ(fixture.route.choose(query, fixture.now), fixture.id(2));
    fixture.route.set_reserved(fixture.id(2), true, fixture.now);
    EXPECT_EQ(fixture.route.choose(query, fixture.now), std::nullopt);
    EXPECT_EQ(fixture.count_choices(100, fixture.query()).count(fixture.id(2)),
              0U);
}

// Guards against counting the response of a removed runner for the runner that
// reuses its index.
TEST(router, ignores_attempts_of_a_runner_no_longer_listed)
{
    router_fixture fixture(1);
    auto const attempt = fixture.send(fixture.id(0), fixture.query());
    fixture.runners.clear();
    fixture.list();
    fixture.runners.push_back({runner_id::of("next"), pool, near, 4.});
    fixture.list();
    fixture.send(fixture.id(0), fixture.query());
    fixture.route.finished(attempt, attempt_result::completed, seconds(9),
                           fixture.now);
    EXPECT_EQ(fixture.route.in_flight(fixture.id(0)), 1U);
}

} // namespace
} // namespace buckthornvale::decision::routing
