#ifndef BUCKTHORNVALE_DECISION_FLEET_MEMBERSHIP_HPP
#define BUCKTHORNVALE_DECISION_FLEET_MEMBERSHIP_HPP

#include <buckthornvale/decision/fleet/member.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornvale::decision::fleet
{

//! The VMs of the platform's lagging list, corrected by what the links saw.
class membership
{
public:
    explicit membership(vm_id self);

    //! A new list of the platform. It never revives a VM that the links saw
    //! dead: the list may be older than the link's observation.
    void platform_list(absl::Span<listed_vm const> vms, time_point now);

    //! Incarnation that a peer's hello gave. A new one makes the VM live.
    void hello(vm_id vm, std::uint64_t incarnation, time_point now);
    void goodbye(vm_id vm, time_point now);
    //! State that the failure detector gives; leaving is kept.
    void observed(vm_id vm, member_state state, time_point now);

    member const* find(vm_id vm) const;
    absl::Span<member const> members() const { return members_; }
    //! Entry VMs in state live or suspect, this one included, ordered by id.
    //! A suspect stays, so that one lost ping does not move links and shards.
    std::vector<member> live_entries() const;
    std::vector<member> runners() const;
    std::size_t count(member_role role, member_state state) const;
    //! Rises with each change of state or of the list.
    std::uint64_t generation() const { return generation_; }

private:
    member* find_mutable(vm_id vm);
    bool merge_listing(member& known, listed_vm const& listed, time_point now);
    void set_state(member& known, member_state state, time_point now);

    vm_id self_;
    std::vector<member> members_; //!< ordered by id
    std::uint64_t generation_ = 0;
};

} // namespace buckthornvale::decision::fleet

#endif
