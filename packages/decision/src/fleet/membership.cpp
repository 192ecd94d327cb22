#include <buckthornvale/decision/fleet/membership.hpp>

#include <algorithm>

namespace buckthornvale::decision::fleet
{

namespace
{

bool same_listing(listed_vm const& a, listed_vm const& b)
{
    return a.address == b.address && a.peer_address == b.peer_address &&
           a.failure_domain == b.failure_domain && a.role == b.role &&
           a.leaving == b.leaving;
}

bool id_less(member const& a, member const& b)
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

void membership::set_state(member& known, member_state state, time_point now)
{
    if (known.state == state)
        return;
    known.state = state;
    known.since = now;
    ++generation_;
}

bool membership::merge_listing(member& known, listed_vm const& listed,
                               time_point now)
{
    bool const address_changed =
        known.listed.address != listed.address ||
        known.listed.peer_address != listed.peer_address;
    bool const changed = !same_listing(known.listed, listed);
    known.listed = listed;
    known.domain = failure_domain_id::of(listed.failure_domain);
    if (listed.leaving && known.state != member_state::dead)
        set_state(known, member_state::leaving, now);
    // A new address means a new machine, to which observations of the old one
    // do not apply.
    else if (address_changed)
        set_state(known, member_state::live, now);
    return changed;
}

void membership::apply_platform_list(absl::Span<listed_vm const> vms,
                                     time_point now)
{
    std::vector<member> merged;
    merged.reserve(vms.size());
    bool changed = false;
    for (auto const& it : vms)
    {
        auto const id = vm_id::of(it.name);
        auto const* known = find(id);
        if (known == nullptr)
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
        merged.push_back(*known);
        changed = merge_listing(merged.back(), it, now) || changed;
    }
    std::sort(merged.begin(), merged.end(), id_less);
    auto const same_id = [](member const& a, member const& b)
    { return a.id == b.id; };
    merged.erase(std::unique(merged.begin(), merged.end(), same_id),
                 merged.end());
    changed = changed || merged.size() != members_.size();
    members_ = std::move(merged);
    generation_ += changed ? 1 : 0;
}

void membership::on_hello(vm_id vm, std::uint64_t incarnation, time_point now)
{
    auto* known = find_mutable(vm);
    if (known == nullptr)
        return;
    bool const restarted = known->incarnation != incarnation;
    if (restarted)
    {
        known->incarnation = incarnation;
        ++generation_;
    }
    // A restarted process is live, even when the list still reports the old one
    // as leaving.
    if (known->state != member_state::leaving || restarted)
        set_state(*known, member_state::live, now);
}

void membership::on_goodbye(vm_id vm, time_point now)
{
    if (auto* known = find_mutable(vm))
        set_state(*known, member_state::leaving, now);
}

void membership::set_observed_state(vm_id vm, member_state state,
                                    time_point now)
{
    auto* known = find_mutable(vm);
    if (known == nullptr)
        return;
    bool const leaving = known->state == member_state::leaving;
    if (leaving && state != member_state::dead)
        return;
    set_state(*known, state, now);
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
