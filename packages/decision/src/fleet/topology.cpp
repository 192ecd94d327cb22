#include <buckthornvale/decision/fleet/rendezvous.hpp>
#include <buckthornvale/decision/fleet/topology.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace buckthornvale::decision::fleet
{

namespace
{

using domain_order = std::vector<vm_id>;

std::string_view key_of(failure_domain_id const& domain)
{
    return {reinterpret_cast<char const*>(&domain.value), sizeof(domain.value)};
}

// VMs of each domain by descending rendezvous weight; the first one is the
// root.
std::map<failure_domain_id, domain_order>
order_domains(absl::Span<topology_node const> live)
{
    std::map<failure_domain_id, domain_order> domains;
    for (auto const& it : live)
        domains[it.domain].push_back(it.vm);
    for (auto& it : domains)
    {
        auto const key = key_of(it.first);
        std::sort(it.second.begin(), it.second.end(),
                  [&](vm_id a, vm_id b)
                  {
                      auto const left = rendezvous_weight(key, a);
                      auto const right = rendezvous_weight(key, b);
                      return left != right ? left > right : a < b;
                  });
    }
    return domains;
}

void sort_links(std::vector<topology_link>& links)
{
    std::sort(links.begin(), links.end(),
              [](topology_link const& a, topology_link const& b)
              { return a.vm < b.vm; });
}

} // namespace

std::vector<topology_link>
full_mesh::links(vm_id self, absl::Span<topology_node const> live) const
{
    std::vector<topology_link> found;
    for (auto const& it : live)
    {
        if (it.vm != self)
            found.push_back({it.vm, link_role::peer, self < it.vm});
    }
    sort_links(found);
    return found;
}

std::vector<topology_link>
domain_tree::links(vm_id self, absl::Span<topology_node const> live) const
{
    std::vector<topology_link> found;
    auto const domains = order_domains(live);
    for (auto const& it : domains)
    {
        auto const& order = it.second;
        auto const position = std::find(order.begin(), order.end(), self);
        if (position == order.end())
            continue;
        auto const index = static_cast<std::size_t>(position - order.begin());
        // The child opens the connection, so that an inner VM does not have to
        // connect to many others.
        if (index > 0)
            found.push_back(
                {order[(index - 1) / fan_out_], link_role::parent, true});
        for (auto child = index * fan_out_ + 1;
             child <= (index + 1) * fan_out_ && child < order.size(); ++child)
            found.push_back({order[child], link_role::child, false});
        if (index > 0)
            continue;
        for (auto const& other : domains)
        {
            auto const root = other.second.front();
            if (root != self)
                found.push_back({root, link_role::peer, self < root});
        }
    }
    sort_links(found);
    return found;
}

topology_strategy const& strategy_for(std::size_t live_vms)
{
    static full_mesh const mesh;
    static domain_tree const tree;
    if (live_vms <= max_mesh_vms)
        return mesh;
    return tree;
}

} // namespace buckthornvale::decision::fleet
