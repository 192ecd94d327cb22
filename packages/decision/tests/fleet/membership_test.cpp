#include <buckthornvale/decision/fleet/membership.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace buckthornvale::decision::fleet
{
namespace
{

listed_vm entry(char const* name, bool leaving = false)
{
    return {name,   "10.0.0.1",         "10.0.0.1:1",
            "Sfax", member_role::entry, leaving};
}

// Guards against an outdated platform list that revives a VM which the links
// found dead, and against a restarted VM that stays dead.
TEST(membership, corrects_a_stale_platform_list_with_link_observations)
{
    membership fleet(vm_id::of("a"));
    std::vector<listed_vm> const list = {entry("a"), entry("b"), entry("c")};
    time_point const now{};
    fleet.apply_platform_list(list, now);
    fleet.set_observed_state(vm_id::of("b"), member_state::dead, now);
    fleet.apply_platform_list(list, now);
    EXPECT_EQ(fleet.live_entries().size(), 2U);
    fleet.on_hello(vm_id::of("b"), 9, now);
    EXPECT_EQ(fleet.live_entries().size(), 3U);
    EXPECT_EQ(fleet.find(vm_id::of("b"))->incarnation, 9U);
}

// Guards against a VM that announced its shutdown and becomes live again
// because it still answers a ping, and against runners in the list of entry
// VMs.
TEST(membership, keeps_leaving_state_and_excludes_runners)
{
    membership fleet(vm_id::of("a"));
    auto runner = entry("r");
    runner.role = member_role::runner;
    fleet.apply_platform_list(
        std::vector<listed_vm>{entry("a"), entry("b"), runner}, {});
    fleet.on_goodbye(vm_id::of("b"), {});
    fleet.set_observed_state(vm_id::of("b"), member_state::live, {});
    EXPECT_EQ(fleet.live_entries().size(), 1U);
    EXPECT_EQ(fleet.runners().size(), 1U);
    auto const generation = fleet.generation();
    fleet.apply_platform_list(
        std::vector<listed_vm>{entry("a"), entry("b"), runner}, {});
    EXPECT_EQ(fleet.generation(), generation)
        << "an identical list changed the generation";
}

} // namespace
} // namespace buckthornvale::decision::fleet
