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
    std::map<runner_id, int> choices(int n, route_query const& query)
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
TEST_P(every_strategy, gives_a_leaving_runner_nothing)
{
    router_fixture it(4, settings());
    std::vector<std::uint64_t> const blocks = {11, 12, 13, 14};
    auto query = it.query();
    query.prefix_blocks = blocks;
    query.adapter = 5;
    it.send(it.id(0), query);
    it.route.set_leaving(it.id(0), true, it.now);
    it.route.set_leaving(runner_id::of("runner-4"), true, it.now);
    it.add(near);
    it.list();
    auto const chosen = it.choices(500, query);
    EXPECT_EQ(chosen.count(it.id(0)), 0U);
    EXPECT_EQ(chosen.count(it.id(4)), 0U);
    EXPECT_FALSE(chosen.empty());
}

// Guards against a retry on the runner that failed the first attempt.
TEST_P(every_strategy, never_chooses_an_excluded_runner)
{
    router_fixture it(2, settings());
    auto query = it.query();
    query.adapter = 5;
    it.send(it.id(0), query);
    std::vector<runner_id> const tried = {it.id(0)};
    query.exclude = tried;
    EXPECT_EQ(it.choices(200, query)[it.id(1)], 200);
    std::vector<runner_id> const all = {it.id(0), it.id(1)};
    query.exclude = all;
    EXPECT_EQ(it.route.choose(query, it.now), std::nullopt);
}

// Guards against attempts sent to a runner whose circuit is open.
TEST_P(every_strategy, leaves_out_a_failing_runner)
{
    router_fixture it(3, settings());
    it.fail(1);
    EXPECT_EQ(it.choices(200, it.query()).count(it.id(1)), 0U);
}

INSTANTIATE_TEST_SUITE_P(router, every_strategy,
                         testing::Range<std::size_t>(0, strategy_count));

// Guards against a runner that turned slow and keeps its share of the attempts.
TEST(router, opens_the_circuit_of_a_runner_that_turned_slow)
{
    router_fixture it(4);
    for (int i = 0; i < 30; ++i)
    {
        for (std::size_t k = 0; k < 4; ++k)
            it.run(it.id(k), attempt_result::completed, milliseconds(100));
    }
    for (int i = 0; i < 5; ++i)
        it.run(it.id(2), attempt_result::completed, seconds(1));
    EXPECT_EQ(it.route.counters().opened_by_slowness, 1U);
    EXPECT_EQ(it.choices(100, it.query()).count(it.id(2)), 0U);
}

// Guards against a pool without usable runners when all of them turn slow
// together.
TEST(router, keeps_most_of_a_pool_that_is_slow_as_a_whole)
{
    router_fixture it(9);
    for (int i = 0; i < 60; ++i)
    {
        auto const took = i < 30 ? milliseconds(100) : milliseconds(2000);
        for (std::size_t k = 0; k < 9; ++k)
            it.run(it.id(k), attempt_result::completed, took);
    }
    EXPECT_GE(it.route.pool_slots(pool, it.now), 6 * 4.);
}

// Guards against a runner that keeps its old speed estimate after it recovers,
// or that is excluded for good after a lasting change of speed.
TEST(router, adopts_a_lasting_slowdown_as_the_runners_speed)
{
    router_fixture it(4);
    for (int i = 0; i < 30; ++i)
        it.run(it.id(2), attempt_result::completed, milliseconds(100));
    for (int i = 0; i < 5; ++i)
        it.run(it.id(2), attempt_result::completed, seconds(1));
    for (int i = 0; i < 5; ++i)
    {
        it.now += seconds(60);
        EXPECT_EQ(it.route.choose(it.query(), it.now), it.id(2));
        it.run(it.id(2), attempt_result::completed, seconds(1));
    }
    EXPECT_EQ(it.route.counters().closed, 1U);
}

// Guards against a frozen runner, whose attempts never end, that still appears
// as fast as before.
TEST(router, avoids_a_runner_without_progress)
{
    router_fixture it(4);
    it.send(it.id(0), it.query());
    it.now += seconds(5);
    auto const chosen = it.choices(300, it.query());
    EXPECT_EQ(chosen.count(it.id(0)), 0U);
}

// Guards against a probe storm: many requests sent to a runner whose circuit
// has just become half-open.
TEST(router, sends_one_probe_at_a_time)
{
    router_fixture it(3);
    it.fail(1);
    it.now += seconds(10);
    EXPECT_EQ(it.route.choose(it.query(), it.now), it.id(1));
    auto const probe = it.send(it.id(1), it.query());
    EXPECT_EQ(it.choices(200, it.query()).count(it.id(1)), 0U);
    it.route.finished(probe, attempt_result::completed, milliseconds(100),
                      it.now);
    it.now += seconds(10); // after the warm-up of the returned runner
    EXPECT_GT(it.choices(2000, it.query()).count(it.id(1)), 0U);
    EXPECT_EQ(it.route.counters().probes, 1U);
}

// Guards against a recovering failure domain that gets a probe to each of its
// runners at once.
TEST(router, bounds_probes_over_a_pool)
{
    router_fixture it(40);
    for (std::size_t i = 0; i < 30; ++i)
        it.fail(i);
    it.now += seconds(60);
    for (int i = 0; i < 100; ++i)
        it.send(*it.route.choose(it.query(), it.now), it.query());
    EXPECT_EQ(it.route.counters().probes, 3U);
}

// Guards against using a booking or a retry to probe a runner that may be
// broken.
TEST(router, probes_with_repeatable_first_attempts_only)
{
    router_fixture it(2);
    it.fail(1);
    it.now += seconds(10);
    auto booking = it.query();
    booking.repeatable = false;
    EXPECT_EQ(it.choices(50, booking).count(it.id(1)), 0U);
    auto retry = it.query();
    std::vector<runner_id> const tried = {it.id(0)};
    retry.exclude = tried;
    EXPECT_EQ(it.route.choose(retry, it.now), std::nullopt);
}

// Guards against a deadlock in which admission sees no slots, admits nothing,
// and so never lets through the probe that would close the circuit.
TEST(router, counts_a_slot_for_a_runner_whose_probe_is_due)
{
    router_fixture it(1);
    EXPECT_EQ(it.route.pool_slots(pool, it.now), 4.);
    it.fail(0);
    EXPECT_EQ(it.route.pool_slots(pool, it.now), 0.);
    EXPECT_EQ(it.route.choose(it.query(), it.now), std::nullopt);
    it.now += seconds(10);
    EXPECT_EQ(it.route.pool_slots(pool, it.now), 1.);
}

// Guards against a new runner that all VMs send to at once because it is idle.
TEST(router, ramps_up_a_runner_that_joins)
{
    router_fixture it(9);
    it.add(near);
    it.list();
    EXPECT_EQ(it.choices(300, it.query()).count(it.id(9)), 0U);
    EXPECT_LT(it.route.pool_slots(pool, it.now), 9 * 4. + 1.);
    it.now += seconds(10);
    EXPECT_GT(it.choices(300, it.query())[it.id(9)], 0);
}

// Guards against VMs with the same reports that all choose the one idle runner.
TEST(router, spreads_choices_of_vms_with_equal_reports)
{
    std::map<runner_id, int> chosen;
    for (std::uint64_t vm = 0; vm < 64; ++vm)
    {
        router_fixture it(20, {}, vm);
        for (std::size_t i = 0; i < 20; ++i)
            it.route.report({it.id(i), {}, i == 0 ? 0. : 4., 0., 0., 1},
                            it.now);
        ++chosen[*it.route.choose(it.query(), it.now)];
    }
    EXPECT_LT(chosen[runner_id::of("runner-0")], 32);
}

// Guards against needless routing to another failure domain, and against
// staying in the local domain when the other is faster by more than the cost of
// reaching it.
TEST(router, prefers_its_failure_domain_only_while_it_pays)
{
    routing_settings settings;
    settings.samples = 16;
    router_fixture it(0, settings);
    it.add(near);
    it.add(far);
    it.list();
    EXPECT_EQ(it.choices(100, it.query())[it.id(0)], 100);
    for (int i = 0; i < 8; ++i)
        it.send(it.id(0), it.query());
    EXPECT_EQ(it.choices(100, it.query())[it.id(1)], 100);
}

// Guards against recomputing a prompt that another runner holds in its cache,
// and against overloading the runner that holds it.
TEST(router, follows_the_prefix_until_the_holder_is_busy)
{
    router_fixture it(50);
    std::vector<std::uint64_t> const blocks = {21, 22, 23, 24, 25, 26, 27, 28};
    auto query = it.query();
    query.prefix_blocks = blocks;
    it.send(it.id(9), query);
    EXPECT_EQ(it.choices(100, query)[it.id(9)], 100);
    for (int i = 0; i < 12; ++i)
        it.send(it.id(9), it.query());
    EXPECT_EQ(it.choices(100, query).count(it.id(9)), 0U);
}

// Guards against sending prompts to a restarted runner for a cache that it has
// lost.
TEST(router, forgets_the_prefix_of_a_cleared_or_replaced_runner)
{
    router_fixture it(50);
    std::vector<std::uint64_t> const blocks = {21, 22, 23, 24};
    auto query = it.query();
    query.prefix_blocks = blocks;
    it.send(it.id(9), query);
    it.route.cache_event(it.id(9), {1, cache_event_kind::clear, {}}, it.now);
    EXPECT_LT(it.choices(100, query)[it.id(9)], 50);
    it.send(it.id(8), query);
    it.runners.erase(it.runners.begin() + 8);
    it.list();
    it.add(near);
    it.list();
    EXPECT_LT(it.choices(100, query)[it.runners.back().id], 50);
}

// Guards against sending an attempt to a runner that would have to load the
// model first.
TEST(router, chooses_among_runners_that_hold_the_model)
{
    router_fixture it(50);
    std::vector<std::uint64_t> const models = {99};
    it.route.report_resident(it.id(3), models, {}, it.now);
    auto query = it.query();
    query.model = 99;
    EXPECT_EQ(it.choices(100, query)[it.id(3)], 100);
    query.model = 98;
    EXPECT_GT(it.choices(100, query).size(), 10U);
}

// Guards against a suspect that shares a runner with other work.
TEST(router, finds_an_idle_runner_for_a_suspect)
{
    router_fixture it(3);
    it.send(it.id(0), it.query());
    it.send(it.id(1), it.query());
    auto query = it.query();
    query.needs_empty_runner = true;
    EXPECT_EQ(it.route.choose(query, it.now), it.id(2));
    it.route.set_reserved(it.id(2), true, it.now);
    EXPECT_EQ(it.route.choose(query, it.now), std::nullopt);
    EXPECT_EQ(it.choices(100, it.query()).count(it.id(2)), 0U);
}

// Guards against counting the response of a removed runner for the runner that
// reuses its index.
TEST(router, ignores_attempts_of_a_runner_no_longer_listed)
{
    router_fixture it(1);
    auto const attempt = it.send(it.id(0), it.query());
    it.runners.clear();
    it.list();
    it.runners.push_back({runner_id::of("next"), pool, near, 4.});
    it.list();
    it.send(it.id(0), it.query());
    it.route.finished(attempt, attempt_result::completed, seconds(9), it.now);
    EXPECT_EQ(it.route.in_flight(it.id(0)), 1U);
}

} // namespace
} // namespace buckthornvale::decision::routing
