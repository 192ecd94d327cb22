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

//! Members of the fleet: the list of the platform, which lags behind, corrected
//! by what the peer links observed.
class membership
{
public:
    explicit membership(vm_id self);

    //! Applies a new list of the platform. It never revives a VM that the links
    //! found dead, because the list may be older than that observation.
    void apply_platform_list(absl::Span<listed_vm const> vms, time_point now);

    //! Handles the hello message of a peer. A new incarnation makes the VM
    //! live.
    void on_hello(vm_id vm, std::uint64_t incarnation, time_point now);
    void on_goodbye(vm_id vm, time_point now);
    //! Applies a state reported by the failure detector. A leaving VM stays
    //! leaving unless it is dead.
    void set_observed_state(vm_id vm, member_state state, time_point now);

    member const* find(vm_id vm) const;
    absl::Span<member const> members() const { return members_; }
    //! Entry VMs that are live or suspect, and this one, ordered by id.
    //! Suspects are included, so that one lost ping does not change the
    //! topology and the owners of shards.
    std::vector<member> live_entries() const;
    std::vector<member> runners() const;
    std::size_t count(member_role role, member_state state) const;
    //! Incremented by each change of a state or of the list.
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
