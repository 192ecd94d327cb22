#include "fixture.hpp"
#include <buckthornvale/decision/admission/capacity_share.hpp>
#include <buckthornvale/decision/admission/summary_sum.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::admission
{
namespace
{

rank_table shares()
{
    rank_table out;
    out[0].guaranteed_share = 0.4;
    out[1].guaranteed_share = 0.35;
    out[2].guaranteed_share = 0.25;
    return out;
}

//! Demand of one VM in the middle rank, with one entry per organisation.
demand_summary
demand(std::vector<std::pair<std::string, float>> const& organisations)
{
    demand_summary out;
    pool_demand pool{models, {}};
    for (auto const& [name, rate] : organisations)
    {
        organisation_demand entry;
        entry.organisation = organisation(name);
        entry.cost_rate[1] = rate;
        out.heaviest.push_back(entry);
        out.cost_rate[1] += rate;
        pool.work_rate[1] += rate;
    }
    out.pools.push_back(pool);
    return out;
}

double slots_of(demand_summary const& own,
                std::vector<demand_summary> const& peers, std::size_t fleet)
{
    peer_view view(std::chrono::seconds(3), std::chrono::minutes(10));
    view.set_fleet(fleet, at(0));
    for (std::size_t n = 0; n < peers.size(); ++n)
        view.update(vm_id{n + 1}, peers[n], at(0));
    view.refresh(at(1));
    pool_capacity const pool{models, 70.0};
    return divide_pools({&pool, 1}, own, view, shares(),
                        [](organisation_id) { return 1.0; })
        .shares[0]
        .slots;
}

// Guards against a division of capacity that does not work without peers.
TEST(capacity_share, gives_a_single_vm_the_whole_pool)
{
    EXPECT_NEAR(slots_of(demand({{"a", 10.0F}}), {}, 1), 70.0, 1e-6);
}

// Guards against idle VMs that withhold capacity from a busy one.
TEST(capacity_share, follows_demand_between_vms)
{
    auto const busy = demand({{"a", 60.0F}});
    auto const idle = demand({{"a", 5.0F}});
    EXPECT_GT(slots_of(busy, {idle, idle}, 3), 55.0);
    EXPECT_LT(slots_of(idle, {busy, idle}, 3), 10.0);
}

// Guards against a VM that takes the capacity of peers from which it receives
// no summaries.
TEST(capacity_share, reserves_the_share_of_stale_peers)
{
    EXPECT_NEAR(slots_of(demand({{"a", 500.0F}}), {}, 7), 10.0, 1e-6);
}

// Guards against more service for an organisation that sends its requests
// through all VMs, or for one that floods a single VM.
TEST(capacity_share, gives_no_more_to_an_organisation_on_several_vms)
{
    auto const both = demand({{"single", 350.0F}, {"spread", 50.0F}});
    auto const rest = demand({{"spread", 50.0F}});
    std::vector<demand_summary> const others(6, rest);
    auto const first = slots_of(both, others, 7);
    std::vector<demand_summary> seen(5, rest);
    seen.push_back(both);
    auto const other = slots_of(rest, seen, 7);
    EXPECT_NEAR(first + 6.0 * other, 70.0, 0.1);
    // "single" gets 35 slots on its VM, "spread" 5 slots on each of the seven
    // VMs.
    EXPECT_NEAR(first, 40.0, 0.5);
}

// Guards against a sum of summaries that counts as one VM, and against sums
// whose size grows with the fleet.
TEST(capacity_share, treats_a_sum_of_summaries_as_its_vms)
{
    auto const own = demand({{"a", 500.0F}});
    std::vector<demand_summary> const peers(6, own);
    auto const sum = sum_summaries(peers, 32);
    EXPECT_EQ(sum.vms, 6U);
    EXPECT_NEAR(slots_of(own, {sum}, 7), slots_of(own, peers, 7), 1e-3);
    EXPECT_NEAR(slots_of(own, {sum}, 14), 5.0, 1e-3);
    std::vector<std::pair<std::string, float>> many;
    for (int n = 0; n < 100; ++n)
        many.emplace_back("org" + std::to_string(n), 1.0F + n);
    auto const bounded = sum_summaries({demand(many), demand(many)}, 32);
    EXPECT_EQ(bounded.heaviest.size(), 32U);
    EXPECT_FLOAT_EQ(bounded.cost_rate[1], 2.0F * 5050.0F);
}

// Guards against a fair level that distributes more or less than the total.
TEST(capacity_share, finds_the_level_that_uses_the_total)
{
    std::vector<weighted_demand> const demands = {
        {10.0, 1.0}, {2.0, 1.0}, {30.0, 2.0}};
    auto const level = max_min_fair_level(demands, 20.0);
    EXPECT_NEAR(level, 6.0, 1e-9);
    EXPECT_GT(max_min_fair_level(demands, 50.0), 1e9);
}

} // namespace
} // namespace buckthornvale::decision::admission
