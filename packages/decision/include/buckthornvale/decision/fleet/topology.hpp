#ifndef BUCKTHORNVALE_DECISION_FLEET_TOPOLOGY_HPP
#define BUCKTHORNVALE_DECISION_FLEET_TOPOLOGY_HPP

#include <buckthornvale/decision/core/ids.hpp>

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace buckthornvale::decision::fleet
{

//! A live entry VM and its failure domain.
struct topology_node
{
    vm_id vm;
    failure_domain_id domain;
};

//! Role of a linked VM in the aggregation of summaries.
enum class link_role : std::uint8_t
{
    //! Member of a full mesh, or root of another domain: sends the sum of its
    //! subtree.
    peer,
    child, //!< sends the sum of its subtree, receives the sum of the fleet
    parent //!< receives the sum of this subtree, sends the sum of the fleet
};

//! A link of a VM.
struct topology_link
{
    vm_id vm;
    link_role role = link_role::peer;
    bool dial = false; //!< this side opens the connection

    friend bool operator==(topology_link const& a, topology_link const& b)
    {
        return a.vm == b.vm && a.role == b.role && a.dial == b.dial;
    }
};

//! Rule that determines the links of a VM. A pure function of the list of live
//! VMs.
class topology_strategy
{
public:
    virtual ~topology_strategy() = default;
    virtual std::string_view name() const = 0;
    //! Links of `self`, ordered by VM id.
    virtual std::vector<topology_link>
    links(vm_id self, absl::Span<topology_node const> live) const = 0;
};

//! Each VM has a link to every other VM.
class full_mesh final : public topology_strategy
{
public:
    std::string_view name() const override { return "full_mesh"; }
    std::vector<topology_link>
    links(vm_id self, absl::Span<topology_node const> live) const override;
};

//! The VMs of each failure domain form a tree in rendezvous order; the roots of
//! the domains form a full mesh.
class domain_tree final : public topology_strategy
{
public:
    explicit domain_tree(std::size_t fan_out = 4) : fan_out_(fan_out) {}
    std::string_view name() const override { return "domain_tree"; }
    std::vector<topology_link>
    links(vm_id self, absl::Span<topology_node const> live) const override;

private:
    std::size_t fan_out_;
};

//! Largest fleet that uses a full mesh. In a mesh the traffic of a VM grows
//! with the number of VMs; in a larger fleet it exceeds that of a tree.
constexpr std::size_t max_mesh_vms = 16;

//! Returns the strategy for a number of live VMs.
topology_strategy const& strategy_for(std::size_t live_vms);

} // namespace buckthornvale::decision::fleet

#endif
