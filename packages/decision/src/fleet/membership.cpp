#include <buckthornvale/decision/fleet/membership.hpp>

#include <algorithm>

namespace buckthornvale::decision::fleet
{

namespace
{

bool same(listed_vm const& a, listed_vm const& b)
{
    return a.address == b.address && a.peer_address == b.peer_address &&
           a.failure_domain == b.failure_domain && a.role == b.role &&
           a.leaving == b.leaving;
}

bool before(member const& a, member const& b)
{
    return a.id < b.id;
}

} // namespace

membership::membership(vm_id self) : self_(self) {}

member* membership::find_mutable(vm_id vm)
{
    auto const it =
        std::lower_bound(members_.begin(), members_.end(), vm,
                         [](member const& a, vm_id id) { return a.id < id; });
    return it == members_.end() || it->id != vm ? nullptr : &*it;
}

member const* membership::find(vm_id vm) const
{
    return const_cast<membership*>(this)->find_mutable(vm);
}

void membership::set_state(member& held, member_state state, time_point now)
{
    if (held.state == state)
        return;
    held.state = state;
    held.since = now;
    ++generation_;
}

bool membership::merge(member& held, listed_vm const& listed, time_point now)
{
    bool const moved = held.listed.address != listed.address ||
                       held.listed.peer_address != listed.peer_address;
    bool const changed = !same(held.listed, listed);
    held.listed = listed;
    held.domain = failure_domain_id::of(listed.failure_domain);
    if (listed.leaving && held.state != member_state::dead)
        set_state(held, member_state::leaving, now);
    // Another address is another machine: what was seen of the old one, does
    // not hold for it.
    else if (moved)
        set_state(held, member_state::live, now);
    return changed;
}

void membership::platform_list(absl::Span<listed_vm const> vms, time_point now)
{
    std::vector<member> merged;
    merged.reserve(vms.size());
    bool changed = false;
    for (auto const& it : vms)
    {
        auto const id = vm_id::of(it.name);
        auto const* held = find(id);
        if (held == nullptr)
        {
            member created;
            created.id = id;
            created.domain = failure_domain_id::of(it.failure_domain);
            created.listed = it;
            created.state =
                it.leaving ? member_state::leaving : member_state::live;
            created.since = now;
            merged.push_back(std::move(created));
            changed = true;
            continue;
        }
        merged.push_back(*held);
        changed = merge(merged.back(), it, now) || changed;
    }
    std::sort(merged.begin(), merged.end(), before);
    auto const same_id = [](member const& a, member const& b)
    { return a.id == b.id; };
    merged.erase(std::unique(merged.begin(), merged.end(), same_id),
                 merged.end());
    changed = changed || merged.size() != members_.size();
    members_ = std::move(merged);
    generation_ += changed ? 1 : 0;
}

void membership::hello(vm_id vm, std::uint64_t incarnation, time_point now)
{
    auto* held = find_mutable(vm);
    if (held == nullptr)
        return;
    bool const restarted = held->incarnation != incarnation;
    if (restarted)
    {
        held->incarnation = incarnation;
        ++generation_;
    }
    // A restarted process is a new one, also when the list still says that
    // the old one is leaving.
    if (held->state != member_state::leaving || restarted)
        set_state(*held, member_state::live, now);
}

void membership::goodbye(vm_id vm, time_point now)
{
    if (auto* held = find_mutable(vm))
        set_state(*held, member_state::leaving, now);
}

void membership::observed(vm_id vm, member_state state, time_point now)
{
    auto* held = find_mutable(vm);
    if (held == nullptr)
        return;
    bool const leaving = held->state == member_state::leaving;
    if (leaving && state != member_state::dead)
        return;
    set_state(*held, state, now);
}

std::vector<member> membership::live_entries() const
{
    std::vector<member> live;
    for (auto const& it : members_)
    {
        bool const usable =
            it.state == member_state::live || it.state == member_state::suspect;
        bool const entry = it.listed.role == member_role::entry;
        if (entry && (usable || it.id == self_))
            live.push_back(it);
    }
    return live;
}

std::vector<member> membership::runners() const
{
    std::vector<member> found;
    for (auto const& it : members_)
    {
        if (it.listed.role == member_role::runner)
            found.push_back(it);
    }
    return found;
}

std::size_t membership::count(member_role role, member_state state) const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [&](member const& it)
                      { return it.listed.role == role && it.state == state; }));
}

} // namespace buckthornvale::decision::fleet
