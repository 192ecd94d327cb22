#include "support/vm_fixture.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision
{
namespace
{

using testing::fake_store;
using testing::vm_fixture;

void report_engines(vm_fixture& fixture, std::vector<std::string> const& models)
{
    for (int n = 1; n <= 3; ++n)
    {
        requests::runner_reported report;
        report.runner = runner_id::of("engines-" + std::to_string(n));
        report.reachable = true;
        report.sequence =
            static_cast<std::uint64_t>(fixture.now.time_since_epoch().count());
        report.slots = 8.;
        report.models = models;
        fixture.post(report);
    }
}

void run_with_models(std::vector<vm_fixture*> const& vms, duration length,
                     std::vector<std::string> const& models)
{
    constexpr duration step = std::chrono::milliseconds(100);
    for (duration elapsed{}; elapsed < length; elapsed += step)
    {
        for (auto* vm : vms)
        {
            report_engines(*vm, models);
            vm->advance(step);
        }
    }
}

// Guards against a cold start: a model that a pipeline uses must be loaded
// before the first request arrives.
TEST(engine_orders, load_a_model_that_no_engine_holds)
{
    fake_store store;
    vm_fixture fixture(store);
    run_with_models({&fixture}, std::chrono::seconds(30), {});
    ASSERT_FALSE(fixture.orders.empty());
    EXPECT_EQ(fixture.orders[0].model, "small");
    EXPECT_EQ(fixture.orders[0].order.kind, leases::order_kind::load);
    EXPECT_GT(fixture.orders[0].order.fencing_token, 0u);
}

// Guards against needless orders that put load on the weight store.
TEST(engine_orders, are_not_given_when_the_model_is_warm)
{
    fake_store store;
    vm_fixture fixture(store);
    run_with_models({&fixture}, std::chrono::seconds(30), {"small"});
    EXPECT_TRUE(fixture.orders.empty());
}

// Guards against two VMs that send orders for one pool at the same time.
TEST(engine_orders, come_from_the_holder_of_the_lease_only)
{
    fake_store store;
    vm_fixture first(store, "vm-1");
    vm_fixture second(store, "vm-2");
    run_with_models({&first, &second}, std::chrono::seconds(60), {});
    EXPECT_NE(first.orders.empty(), second.orders.empty());
}

// Guards against orders of a holder that can no longer renew its lease.
TEST(engine_orders, stop_while_the_store_is_out)
{
    fake_store store;
    vm_fixture fixture(store);
    run_with_models({&fixture}, std::chrono::seconds(30), {"small"});
    store.outage = true;
    run_with_models({&fixture}, std::chrono::seconds(10), {"small"});
    run_with_models({&fixture}, std::chrono::seconds(60), {});
    EXPECT_TRUE(fixture.orders.empty());
}

} // namespace
} // namespace buckthornvale::decision
