#include "support/vm_fixture.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision
{
namespace
{

using testing::fake_store;
using testing::vm_fixture;

vm_list_read list_of(int vms)
{
    vm_list_read list;
    for (int n = 1; n <= vms; ++n)
    {
        fleet::listed_vm vm;
        vm.name = "vm-" + std::to_string(n);
        vm.peer_address = "127.0.0.1:" + std::to_string(9000 + n);
        vm.failure_domain = "north";
        list.vms.push_back(vm);
    }
    return list;
}

// Guards against a paused VM that is never accepted as live again: if its peers
// dropped its links while it was considered dead, they could not notice that it
// had resumed.
TEST(peer_links, are_kept_to_a_listed_vm_that_looks_dead)
{
    fake_store store;
    vm_fixture fixture(store);
    auto const peer = vm_id::of("vm-2");
    fixture.post(list_of(2));
    fixture.post(peer_link_changed{peer, fleet::link_event::connected, 7});
    fixture.post(peer_link_changed{peer, fleet::link_event::reset, 0});
    fixture.advance(std::chrono::seconds(120));
    fixture.post(list_of(2));
    ASSERT_EQ(fixture.targets.peers.size(), 1u);
    EXPECT_TRUE(fixture.targets.peers[0].link);

    fixture.post(peer_link_changed{peer, fleet::link_event::connected, 8});
    auto const status = fixture.vm.status();
    for (auto const& member : status.members)
        EXPECT_EQ(member.state, fleet::member_state::live);
}

// Guards against a VM in a tree topology that lost all its links and waits for
// connections from peers that already consider it dead.
TEST(peer_links, are_dialled_by_a_vm_that_is_cut_off_from_a_tree)
{
    fake_store store;
    vm_fixture fixture(store);
    fixture.post(list_of(40));
    EXPECT_EQ(fixture.targets.peers.size(), 39u);
    for (auto const& target : fixture.targets.peers)
        EXPECT_EQ(target.dial, target.link);
}

} // namespace
} // namespace buckthornvale::decision
