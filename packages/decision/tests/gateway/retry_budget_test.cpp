#include "retry_simulation.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr duration day = 90s;

retry_scenario small_fleet(std::uint64_t seed)
{
    retry_scenario out;
    out.seed = seed;
    return out;
}

retry_scenario large_fleet(std::uint64_t seed)
{
    retry_scenario out;
    out.vm_count = 195;
    out.requests_per_s = 320;
    out.limits.slack = 430;
    out.seed = seed;
    return out;
}

double largest_excess(retry_scenario const& scenario)
{
    retry_simulation simulation(scenario);
    simulation.run(day);
    EXPECT_GT(simulation.retries(), 500U);
    return simulation.largest_excess();
}

// The requests of a little more than the window counted, so a burst with many
// refusals exceeded the limit by up to 3 in 100.
TEST(retry_budget_load, keeps_the_limit_in_bursts_with_refusals)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (double const refused : {0.6, 0.8})
            for (auto scenario : {small_fleet(seed), large_fleet(seed)})
            {
                scenario.refused_share = refused;
                EXPECT_LE(largest_excess(scenario), 0);
            }
}

// All retries that a burst allowed were used at its end, when its requests had
// partly left the window.
TEST(retry_budget_load, keeps_the_limit_when_refusals_begin_late_in_a_burst)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (auto scenario : {small_fleet(seed), large_fleet(seed)})
        {
            scenario.refused_share = 0;
            scenario.quiet_refused_share = 0.95;
            EXPECT_LE(largest_excess(scenario), 0);
        }
}

// A process that starts again does not know what its predecessor used.
TEST(retry_budget_load, keeps_the_limit_while_vms_restart_and_join)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (auto scenario : {small_fleet(seed), large_fleet(seed)})
        {
            scenario.restarts = {18s, 20s, 24s, 48s, 50s, 71s};
            scenario.join_at = 46s;
            scenario.quiet_refused_share = 0.3;
            EXPECT_LE(largest_excess(scenario), 0);
        }
}

// Retries are for the callers: keeping the limit must not mean to use little of
// it while runners refuse much.
TEST(retry_budget_load, uses_most_of_the_limit)
{
    for (auto const& scenario : {small_fleet(1), large_fleet(1)})
    {
        retry_simulation simulation(scenario);
        simulation.run(day);
        EXPECT_GT(simulation.largest_use(), 0.75);
    }
}

// Before the list of VMs is known, this VM could take the slack of all others
// for its own.
TEST(retry_budget_load, gets_no_slack_while_the_number_of_vms_is_unknown)
{
    retry_budget budget({0, 56, 10s});
    EXPECT_FALSE(budget.try_consume("s", 0, time_point(100s)));
    EXPECT_TRUE(budget.try_consume("s", 8, time_point(100s)));
}

} // namespace
} // namespace buckthornvale::decision::gateway
