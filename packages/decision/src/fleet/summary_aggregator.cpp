#include <buckthornvale/decision/fleet/summary_aggregator.hpp>

#include <algorithm>
#include <cmath>
#include <type_traits>

namespace buckthornvale::decision::fleet
{

namespace
{

template <class Load, class Id>
Load const* find_load(std::vector<Load> const& loads, Load const& reference,
                      Id id)
{
    auto const it = std::find_if(loads.begin(), loads.end(),
                                 [&](Load const& load)
                                 { return load.*id == reference.*id; });
    return it == loads.end() ? nullptr : &*it;
}

// Replaces or appends the entries that a message lists. erase_empty() then
// removes the entries that became zero.
template <class Load, class Id>
void merge(std::vector<Load>& current, std::vector<Load> const& updates, Id id)
{
    for (auto const& it : updates)
    {
        auto const same = [&](Load const& other)
        { return other.*id == it.*id; };
        current.erase(std::remove_if(current.begin(), current.end(), same),
                      current.end());
        current.push_back(it);
    }
}

bool empty(pool_load const& load)
{
    auto const zero = [](double value) { return value == 0.; };
    return std::all_of(load.in_flight.begin(), load.in_flight.end(), zero) &&
           std::all_of(load.demand.begin(), load.demand.end(), zero);
}

bool empty(organisation_load const& load)
{
    return load.requests_per_second == 0. && load.concurrent == 0.;
}

template <class Load>
void erase_empty(std::vector<Load>& loads)
{
    loads.erase(std::remove_if(loads.begin(), loads.end(),
                               [](Load const& it) { return empty(it); }),
                loads.end());
}

} // namespace

summary_aggregator::summary_aggregator(summary_settings const& settings)
    : settings_(settings)
{
}

void summary_aggregator::set_links(absl::Span<topology_link const> links,
                                   time_point now)
{
    std::vector<link_state> kept;
    for (auto const& it : links)
    {
        auto const state = std::find_if(links_.begin(), links_.end(),
                                        [&](link_state const& other) {
                                            return other.link.vm == it.vm &&
                                                   other.link.role == it.role;
                                        });
        if (state != links_.end())
        {
            kept.push_back(*state);
            continue;
        }
        link_state created;
        created.link = it;
        created.last_received = now;
        kept.push_back(std::move(created));
    }
    links_ = std::move(kept);
}

void summary_aggregator::set_local(load_summary const& summary)
{
    // Sorts and limits the local load like any other sum.
    load_summary bounded;
    bounded.vms = 0;
    add(bounded, summary);
    local_ = std::move(bounded);
    local_.vms = 1;
}

void summary_aggregator::receive(vm_id from, summary_message const& message,
                                 time_point now)
{
    auto const it = std::find_if(links_.begin(), links_.end(),
                                 [&](link_state const& state)
                                 { return state.link.vm == from; });
    if (it == links_.end())
        return;
    auto& state = *it;
    bool const wants_fleet = state.link.role == link_role::parent;
    // While VMs have different views of the topology, a sum of the fleet must
    // not be counted as the sum of a subtree.
    if (message.fleet != wants_fleet)
        return;
    bool const next =
        state.in_sequence && message.sequence == state.last_sequence + 1;
    state.in_sequence = message.full || next;
    state.last_sequence = message.sequence;
    if (!state.in_sequence)
        return;
    state.has_received = true;
    state.last_received = now;
    if (message.full)
    {
        state.received_load = message.load;
        return;
    }
    auto& load = state.received_load;
    load.vms = message.load.vms;
    load.settings_revision = message.load.settings_revision;
    load.marks = message.load.marks;
    load.cost_rate = message.load.cost_rate;
    load.unlisted_request_rate = message.load.unlisted_request_rate;
    merge(load.pools, message.load.pools, &pool_load::pool);
    merge(load.organisations, message.load.organisations,
          &organisation_load::organisation);
    erase_empty(load.pools);
    erase_empty(load.organisations);
}

bool summary_aggregator::is_fresh(link_state const& state, time_point now) const
{
    return state.has_received && now - state.last_received <
                                     settings_.period * settings_.stale_periods;
}

load_summary summary_aggregator::subtree_load(time_point now) const
{
    auto sum = local_;
    for (auto const& it : links_)
    {
        if (it.link.role == link_role::child && is_fresh(it, now))
            add(sum, it.received_load);
    }
    return sum;
}

load_summary summary_aggregator::fleet_load(time_point now) const
{
    for (auto const& it : links_)
    {
        if (it.link.role == link_role::parent && is_fresh(it, now))
            return it.received_load;
    }
    auto sum = subtree_load(now);
    for (auto const& it : links_)
    {
        if (it.link.role == link_role::peer && is_fresh(it, now))
            add(sum, it.received_load);
    }
    return sum;
}

std::vector<linked_load> summary_aggregator::loads_by_link(time_point now) const
{
    std::vector<linked_load> loads;
    for (auto const& it : links_)
    {
        if (!is_fresh(it, now))
            continue;
        loads.push_back({it.link.vm, it.received_load});
        if (it.link.role == link_role::parent)
            subtract(loads.back().load, subtree_load(now));
    }
    return loads;
}

std::uint32_t summary_aggregator::known_vm_count(time_point now) const
{
    return fleet_load(now).vms;
}

bool summary_aggregator::has_stale_links(time_point now) const
{
    return std::any_of(links_.begin(), links_.end(),
                       [&](link_state const& it)
                       { return !is_fresh(it, now); });
}

load_summary summary_aggregator::load_for_link(link_state const& state,
                                               time_point now) const
{
    return state.link.role == link_role::child ? fleet_load(now)
                                               : subtree_load(now);
}

bool summary_aggregator::differs(double before, double after) const
{
    auto const change = std::abs(after - before);
    return change > settings_.change_floor &&
           change > settings_.change_fraction * std::abs(before);
}

summary_message summary_aggregator::make_message(link_state& state,
                                                 load_summary const& load)
{
    summary_message message;
    message.sequence = state.next_sequence++;
    message.fleet = state.link.role == link_role::child;
    message.full = state.periods_until_full == 0;
    if (message.full)
    {
        state.periods_until_full = settings_.full_periods;
        message.load = load;
        state.sent_load = load;
    }
    --state.periods_until_full;
    if (message.full)
        return message;
    message.load.vms = load.vms;
    message.load.settings_revision = load.settings_revision;
    message.load.marks = load.marks;
    message.load.cost_rate = load.cost_rate;
    message.load.unlisted_request_rate = load.unlisted_request_rate;
    auto const pool_differs = [&](pool_load const& a, pool_load const& b)
    {
        bool changed = false;
        for (std::size_t i = 0; i < rank_count; ++i)
        {
            changed = changed || differs(a.in_flight[i], b.in_flight[i]) ||
                      differs(a.demand[i], b.demand[i]);
        }
        return changed;
    };
    auto const organisation_differs =
        [&](organisation_load const& a, organisation_load const& b)
    {
        return differs(a.requests_per_second, b.requests_per_second) ||
               differs(a.concurrent, b.concurrent);
    };
    auto const append_changes = [](auto const& sent, auto const& present,
                                   auto id, auto const& different, auto& listed)
    {
        for (auto const& it : present)
        {
            auto const* previous = find_load(sent, it, id);
            auto const before =
                previous != nullptr ? *previous : std::decay_t<decltype(it)>{};
            if (different(before, it))
                listed.push_back(it);
        }
        for (auto const& it : sent)
        {
            if (find_load(present, it, id) != nullptr)
                continue;
            std::decay_t<decltype(it)> gone;
            gone.*id = it.*id;
            if (different(it, gone))
                listed.push_back(gone);
        }
    };
    append_changes(state.sent_load.pools, load.pools, &pool_load::pool,
                   pool_differs, message.load.pools);
    append_changes(state.sent_load.organisations, load.organisations,
                   &organisation_load::organisation, organisation_differs,
                   message.load.organisations);
    merge(state.sent_load.pools, message.load.pools, &pool_load::pool);
    merge(state.sent_load.organisations, message.load.organisations,
          &organisation_load::organisation);
    erase_empty(state.sent_load.pools);
    erase_empty(state.sent_load.organisations);
    return message;
}

void summary_aggregator::tick(time_point now,
                              std::vector<outgoing_summary>& out)
{
    if (!due(now))
        return;
    if (!started_)
        next_send_ = now;
    started_ = true;
    next_send_ = std::max(next_send_ + settings_.period, now);
    for (auto& it : links_)
    {
        auto const load = load_for_link(it, now);
        out.push_back({it.link.vm, make_message(it, load)});
    }
}

} // namespace buckthornvale::decision::fleet
