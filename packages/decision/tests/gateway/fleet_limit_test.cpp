#include "limit_simulation.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

limit_scenario scenario_of(std::size_t vms, double limit_per_s)
{
    limit_scenario out;
    out.vm_count = vms;
    out.runner_count = vms > 100 ? 59 : 18;
    out.requests_per_s = vms > 100 ? 320 : 110;
    out.limits = {{2s, limit_per_s}};
    return out;
}

// Runners that named a limit on the requests of all VMs together got several
// times as many.
TEST(fleet_limit, holds_for_the_sum_of_all_vms)
{
    for (std::size_t const vms : {8U, 195U})
        for (double const limit : {0.0, 0.3, 1.0, 2.9})
            for (std::uint64_t const seed : {1U, 2U})
            {
                auto scenario = scenario_of(vms, limit);
                scenario.seed = seed;
                limit_simulation run(scenario);
                run.run(25s);
                EXPECT_LE(run.largest_excess(), 0)
                    << vms << " VMs, " << limit << " a second";
            }
}

TEST(fleet_limit, holds_while_vms_start_again_and_join)
{
    for (std::size_t const vms : {8U, 96U})
    {
        auto scenario = scenario_of(vms, 1.5);
        scenario.restarts = {6s, 9s, 14s};
        scenario.join_at = 12s;
        limit_simulation run(scenario);
        run.run(25s);
        EXPECT_LE(run.largest_excess(), 0) << vms << " VMs";
    }
}

TEST(fleet_limit, holds_when_a_runner_names_another_one)
{
    auto scenario = scenario_of(8, 6);
    scenario.limits = {{2s, 6}, {10s, 1.5}, {18s, 4}};
    limit_simulation run(scenario);
    run.run(26s);
    EXPECT_LE(run.largest_excess(), 0);
}

// If all runners of a service name limits, the last resort must not be to
// ignore them.
TEST(fleet_limit, holds_when_all_runners_name_one)
{
    auto scenario = scenario_of(8, 2);
    scenario.limited_share = 1;
    limit_simulation run(scenario);
    run.run(25s);
    EXPECT_LE(run.largest_excess(), 0);
    EXPECT_GE(run.use_of_limits(6s), 0.8);
}

TEST(fleet_limit, leaves_requests_to_runners_without_one)
{
    limit_simulation run(scenario_of(8, 2.9));
    run.run(25s);
    EXPECT_GE(run.served_share(2s), 0.99);
    EXPECT_GE(run.use_of_limits(6s), 0.5);
}

// VMs that send hardly anything to a runner learned from nobody that its limit
// had ended, and left it alone for minutes.
TEST(fleet_limit, ends_on_all_vms_when_answers_name_none)
{
    for (std::size_t const vms : {8U, 195U})
    {
        auto scenario = scenario_of(vms, 1);
        scenario.limited_share = 1;
        scenario.limits = {{2s, 1}, {10s, -1}};
        limit_simulation run(scenario);
        run.run(40s);
        EXPECT_GE(run.served_share(30s), 0.99) << vms << " VMs";
        EXPECT_EQ(run.vms_with_limit(), 0) << vms << " VMs";
    }
}

} // namespace
} // namespace buckthornvale::decision::gateway
