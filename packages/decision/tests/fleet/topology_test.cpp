#include <buckthornvale/decision/fleet/summary_aggregator.hpp>
#include <buckthornvale/decision/fleet/topology.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace buckthornvale::decision::fleet
{
namespace
{

std::vector<topology_node> nodes(std::size_t count)
{
    std::vector<topology_node> live;
    for (std::size_t i = 0; i < count; ++i)
    {
        live.push_back({vm_id::of("vm" + std::to_string(i)),
                        failure_domain_id::of(std::to_string(i % 7))});
    }
    return live;
}

// Guards against a link that only one side has, a disconnected fleet, and a VM
// with more links than the limit.
TEST(topology, connects_all_vms_by_symmetric_bounded_links)
{
    for (std::size_t count : {1, 2, 7, 16, 17, 60, 330})
    {
        auto const live = nodes(count);
        auto const& strategy = strategy_for(count);
        std::map<vm_id, std::vector<topology_link>> links;
        for (auto const& it : live)
            links[it.vm] = strategy.links(it.vm, live);
        std::set<vm_id> reached = {live[0].vm};
        std::vector<vm_id> next = {live[0].vm};
        while (!next.empty())
        {
            auto const vm = next.back();
            next.pop_back();
            EXPECT_LE(links[vm].size(), std::max<std::size_t>(15, 4 + 6));
            for (auto const& link : links[vm])
            {
                auto const& back = links[link.vm];
                auto const other =
                    std::find_if(back.begin(), back.end(),
                                 [&](auto const& it) { return it.vm == vm; });
                ASSERT_NE(other, back.end());
                EXPECT_NE(other->dial, link.dial);
                if (reached.insert(link.vm).second)
                    next.push_back(link.vm);
            }
        }
        EXPECT_EQ(reached.size(), count);
    }
}

// Fleet of aggregators that exchange messages without delay.
struct aggregator_fleet
{
    explicit aggregator_fleet(std::size_t count) : live(nodes(count))
    {
        for (auto const& it : live)
        {
            auto& aggregator =
                vms.emplace(it.vm, summary_settings{}).first->second;
            aggregator.set_links(strategy_for(count).links(it.vm, live), now);
            load_summary load;
            load.pools = {{pool_id{1}, {10., 0., 0.}, {20., 0., 0.}}};
            load.settings_revision = it.vm.value % 100;
            aggregator.set_local(load);
        }
    }
    void run(int periods)
    {
        for (int i = 0; i < periods; ++i)
        {
            now += std::chrono::seconds(1);
            for (auto& it : vms)
            {
                std::vector<outgoing_summary> out;
                if (it.first != silent)
                    it.second.tick(now, out);
                for (auto const& sent : out)
                    vms.at(sent.to).receive(it.first, sent.message, now);
            }
        }
    }

    std::vector<topology_node> live;
    std::map<vm_id, summary_aggregator> vms;
    time_point now{};
    vm_id silent{};
};

// Guards against VMs that are counted twice in, or missing from, the sum of the
// fleet.
TEST(summary_aggregator, gives_every_vm_the_sum_of_the_fleet)
{
    for (std::size_t count : {1, 2, 16, 17, 330})
    {
        aggregator_fleet fleet(count);
        // Every message carries the number of VMs. Loads are exact once a full
        // message has been sent over each of up to eight consecutive links.
        fleet.run(12);
        for (auto const& it : fleet.vms)
        {
            ASSERT_EQ(it.second.fleet_load(fleet.now).vms, count);
            ASSERT_FALSE(it.second.has_stale_links(fleet.now));
        }
        fleet.run(8 * 20);
        for (auto const& it : fleet.vms)
        {
            auto const sum = it.second.fleet_load(fleet.now);
            ASSERT_EQ(sum.pools.at(0).demand[0], 20. * count);
        }
    }
}

// Guards against the load of an unresponsive VM that stays in the sum forever.
TEST(summary_aggregator, drops_stale_contributions)
{
    aggregator_fleet fleet(5);
    fleet.run(3);
    fleet.silent = fleet.live[0].vm;
    fleet.run(5);
    auto const& other = fleet.vms.at(fleet.live[1].vm);
    EXPECT_TRUE(other.has_stale_links(fleet.now));
    EXPECT_EQ(other.known_vm_count(fleet.now), 4U);
}

// Guards against summaries whose size grows with the number of organisations
// and pools.
TEST(summary, bounds_its_size)
{
    load_summary sum;
    load_summary other;
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        other.pools.push_back({pool_id{i}, {1. * i, 0., 0.}, {}});
        other.organisations.push_back({organisation_id{i}, 1. * i, 0.});
        other.marks.emplace_back();
        other.marks.back().content = {i, i};
    }
    add(sum, other);
    EXPECT_EQ(sum.pools.size(), max_summary_pools);
    EXPECT_EQ(sum.organisations.size(), max_summary_organisations);
    EXPECT_EQ(sum.organisations[0].organisation.value, 999U);
    EXPECT_EQ(sum.marks.size(), max_summary_marks);
}

} // namespace
} // namespace buckthornvale::decision::fleet
