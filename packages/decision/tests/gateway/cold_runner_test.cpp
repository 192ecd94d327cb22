#include "limit_simulation.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr double cold_per_s = 19;

//! Requests that a cold runner may get in any second.
constexpr double allowed = 1.5 * cold_per_s + 5;

//! More requests than the runners may get while they are cold.
limit_scenario scenario_of(std::size_t vms)
{
    limit_scenario out;
    out.vm_count = vms;
    out.runner_count = 8;
    out.limited_share = 0.5;
    out.requests_per_s = 400;
    out.limits = {};
    out.cold_per_s = cold_per_s;
    out.cold = {{4s, 8s}};
    out.max_update_delay = 1600ms;
    return out;
}

// VMs do not know of each other's requests: a runner that had just started got
// several times as many as it takes, and crashed again.
TEST(cold_runner, gets_no_more_than_it_takes_from_all_vms)
{
    for (std::size_t const vms : {8U, 68U})
        for (std::uint64_t const seed : {1U, 2U, 3U})
        {
            auto scenario = scenario_of(vms);
            scenario.seed = seed;
            limit_simulation run(scenario);
            run.run(16s);
            EXPECT_LE(double(run.most_while_cold()), allowed) << vms << " VMs";
        }
}

TEST(cold_runner, gets_no_more_when_all_runners_are_cold)
{
    for (std::size_t const vms : {8U, 68U})
    {
        auto scenario = scenario_of(vms);
        scenario.limited_share = 1;
        limit_simulation run(scenario);
        run.run(16s);
        EXPECT_LE(double(run.most_while_cold()), allowed) << vms << " VMs";
    }
}

TEST(cold_runner, gets_no_more_when_others_are_evacuated)
{
    for (std::size_t const vms : {8U, 68U})
    {
        auto scenario = scenario_of(vms);
        scenario.limited_share = 0.25;
        scenario.evacuate_at = 6s;
        limit_simulation run(scenario);
        run.run(16s);
        EXPECT_LE(double(run.most_while_cold()), allowed) << vms << " VMs";
    }
}

// Lists of VMs differ while VMs join and start again, and with them the order
// in which VMs share the limit.
TEST(cold_runner, gets_no_more_while_vms_start_again_and_join)
{
    for (std::size_t const vms : {8U, 34U, 68U})
        for (std::uint64_t const seed : {1U, 2U, 3U})
        {
            auto scenario = scenario_of(vms);
            scenario.seed = seed;
            scenario.restarts = {6s, 9s};
            scenario.join_at = 7s;
            limit_simulation run(scenario);
            run.run(16s);
            EXPECT_LE(double(run.most_while_cold()), allowed) << vms << " VMs";
        }
}

TEST(cold_runner, leaves_requests_to_warm_ones_and_serves_again)
{
    auto scenario = scenario_of(68);
    scenario.cold = {{4s, 4s}, {12s, 4s}};
    limit_simulation run(scenario);
    run.run(24s);
    EXPECT_LE(double(run.most_while_cold()), allowed);
    EXPECT_GE(run.served_share(2s), 0.99);
}

TEST(cold_runner, has_no_limit_unless_its_service_names_one)
{
    auto scenario = scenario_of(8);
    scenario.cold_per_s = 0;
    scenario.limited_share = 1;
    limit_simulation run(scenario);
    run.run(16s);
    EXPECT_GE(run.served_share(2s), 0.99);
}

} // namespace
} // namespace buckthornvale::decision::gateway
