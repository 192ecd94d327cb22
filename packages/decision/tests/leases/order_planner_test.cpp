#include "fake_store.hpp"
#include <buckthornvale/decision/leases/order_planner.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::leases
{
namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t chat = 1;
constexpr std::uint64_t code = 2;
constexpr std::uint64_t rare = 3;

engine_state engine(std::uint64_t id, std::vector<std::uint64_t> models,
                    std::size_t model_capacity = 1)
{
    return {runner_id{id}, std::move(models), model_capacity, 8., false};
}

//! An order planner whose VM holds the lease.
struct planner_fixture
{
    planner_fixture() { store.run(seconds(4)); }

    std::optional<engine_order> next()
    {
        return planner.next(store.vms[0], store.now);
    }

    void engines(std::vector<engine_state> const& value)
    {
        planner.set_engines(value, store.now);
    }

    void models(std::vector<model_requirement> const& value)
    {
        planner.set_models(value);
    }

    fake_store store{1};
    order_planner planner;
};

// Guards against an order after the order window ended between two orders.
TEST(order_planner, checks_the_lease_right_before_each_order)
{
    planner_fixture fixture;
    fixture.models({{chat, 1e9, true}, {code, 1e9, true}});
    fixture.engines({engine(1, {}), engine(2, {})});
    auto const first = fixture.next();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->fencing_token, fixture.store.version);
    fixture.store.now += seconds(6);
    EXPECT_EQ(fixture.next(), std::nullopt);
    EXPECT_EQ(fixture.planner.counters().without_lease, 1U);
}

// Guards against high demand for one model that evicts the last warm copy of a
// model that must stay loaded.
TEST(order_planner, never_drops_the_last_warm_copy_that_is_needed)
{
    planner_fixture fixture;
    fixture.models({{chat, 1e9, false}, {rare, 1e9, true}, {code, 1e9, false}});
    fixture.engines({engine(1, {rare}), engine(2, {chat})});
    fixture.planner.set_demand(chat, 100., fixture.store.now);
    fixture.store.run(seconds(10));
    EXPECT_EQ(fixture.next(), std::nullopt);
    EXPECT_GT(fixture.planner.counters().last_copy_kept, 0U);
    // A second copy on a leaving engine does not count.
    auto leaving = engine(3, {rare});
    leaving.leaving = true;
    fixture.engines({engine(1, {rare}), engine(2, {chat}), leaving});
    EXPECT_EQ(fixture.next(), std::nullopt);
    fixture.engines({engine(1, {rare}), engine(2, {chat}), engine(3, {rare})});
    auto const order = fixture.next();
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, order_kind::unload);
    EXPECT_EQ(order->model, rare);
    // The other copy is kept while the first unload is pending.
    EXPECT_EQ(fixture.next(), std::nullopt);
}

// Guards against loads triggered by a short burst of demand, and against
// unloading a model as soon as the burst ends.
TEST(order_planner, follows_demand_with_hysteresis)
{
    planner_fixture fixture;
    fixture.models({{chat, 1e9, false}, {code, 1e9, false}});
    fixture.engines({engine(1, {chat}), engine(2, {code}), engine(3, {code})});
    fixture.planner.set_demand(code, 4., fixture.store.now);
    fixture.planner.set_demand(chat, 7.5, fixture.store.now);
    EXPECT_EQ(fixture.next(), std::nullopt);
    fixture.store.run(seconds(6));
    // Eight slots would remain for a demand of four, which is above the
    // utilisation limit for unloading.
    EXPECT_EQ(fixture.next(), std::nullopt);
    fixture.planner.set_demand(code, 3., fixture.store.now);
    auto const order = fixture.next();
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, order_kind::unload);
    fixture.engines({engine(1, {chat}), engine(2, {}), engine(3, {code})});
    auto const load = fixture.next();
    ASSERT_TRUE(load);
    EXPECT_EQ(load->kind, order_kind::load);
    EXPECT_EQ(load->runner, runner_id{2});
    fixture.engines({engine(1, {chat}), engine(2, {chat}), engine(3, {code})});
    fixture.planner.set_demand(chat, 0., fixture.store.now);
    fixture.planner.set_demand(code, 8., fixture.store.now);
    fixture.store.run(seconds(20));
    EXPECT_EQ(fixture.next(), std::nullopt);
    fixture.store.run(minutes(1));
    EXPECT_TRUE(fixture.next());
}

// Guards against loads that exceed the rate of the weight store.
TEST(order_planner, paces_loads_by_the_weight_stores_rate)
{
    planner_fixture fixture;
    std::vector<engine_state> engines;
    std::vector<model_requirement> models;
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        engines.push_back(engine(i, {}));
        models.push_back({i, 10e9, true});
    }
    fixture.models(models);
    fixture.engines(engines);
    int loads = 0;
    for (int i = 0; i < 30; ++i)
    {
        while (fixture.next())
            ++loads;
        fixture.store.run(seconds(1));
    }
    // 20 GB immediately, then 1 GB/s for 30 s.
    EXPECT_EQ(loads, 4);
}

// Guards against repeating an order that is still in progress, and against
// never repeating one that was lost.
TEST(order_planner, repeats_an_order_that_shows_no_effect)
{
    planner_fixture fixture;
    fixture.models({{chat, 1e9, true}});
    fixture.engines({engine(1, {})});
    auto const order = fixture.next();
    ASSERT_TRUE(order);
    EXPECT_EQ(fixture.next(), std::nullopt);
    fixture.planner.handle_order_failure(*order);
    EXPECT_TRUE(fixture.next());
    fixture.store.run(minutes(2));
    EXPECT_TRUE(fixture.next());
}

} // namespace
} // namespace buckthornvale::decision::leases
