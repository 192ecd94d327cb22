#include <buckthornvale/decision/routing/runner_table.hpp>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

//! Maximum number of leaving marks, including those for unlisted runners.
constexpr std::size_t max_leaving = 8192;

bool is_usable(runner_entry const& entry)
{
    return !entry.leaving && !entry.reserved &&
           entry.breaker.state() == circuit_state::closed;
}

void append(index_group& group, runner_index index, failure_domain_id domain)
{
    if (group.domains.empty() || group.domains.back().domain != domain)
    {
        auto const first = static_cast<std::uint32_t>(group.all.size());
        group.domains.push_back({domain, first, 0});
    }
    group.all.push_back(index);
    ++group.domains.back().count;
}

//! Subtracts a runner that leaves the list from the pool's sums.
void subtract_from_totals(pool_entry& pool, runner_entry const& runner)
{
    pool.sum_other_requests -= runner.load.other_requests();
    pool.reporting -= runner.load.has_report() ? 1 : 0;
    pool.probes -= runner.breaker.state() == circuit_state::half_open ? 1 : 0;
}

void clear(index_group& group)
{
    group.all.clear();
    group.domains.clear();
}

} // namespace

absl::Span<runner_index const>
index_group::local(failure_domain_id domain) const
{
    for (auto const& it : domains)
    {
        if (it.domain == domain)
            return {all.data() + it.first, it.count};
    }
    return {};
}

void runner_table::set_runners(pool_id pool,
                               absl::Span<runner_info const> runners,
                               std::vector<runner_index>& added)
{
    auto& entry = pools_[pool];
    absl::flat_hash_set<runner_id> listed;
    for (auto const& it : runners)
        listed.insert(it.id);
    auto const is_unlisted = [&](runner_index index)
    {
        if (listed.contains(entries_[index].info.id))
            return false;
        subtract_from_totals(entry, entries_[index]);
        release(index);
        return true;
    };
    entry.members.erase(
        std::remove_if(entry.members.begin(), entry.members.end(), is_unlisted),
        entry.members.end());
    for (auto const& it : runners)
    {
        auto index = index_of(it.id);
        if (index == no_index)
        {
            index = add(it);
            entry.members.push_back(index);
            added.push_back(index);
        }
        if (entries_[index].info.pool == pool)
            entries_[index].info = it;
    }
    order_members(entry);
    rebuild(pool);
}

void runner_table::set_leaving(runner_id runner, bool leaving)
{
    if (!leaving)
        leaving_.erase(runner);
    else if (leaving_.size() < max_leaving)
        leaving_.insert(runner);
    auto const index = index_of(runner);
    if (index == no_index || entries_[index].leaving == leaving)
        return;
    entries_[index].leaving = leaving;
    rebuild(entries_[index].info.pool);
}

void runner_table::rebuild(pool_id pool)
{
    auto& entry = pools_[pool];
    clear(entry.usable);
    for (auto& it : entry.by_model)
        clear(it.second);
    entry.not_closed.clear();
    entry.next_probe = time_point::max();
    for (auto index : entry.members)
    {
        auto const& runner = entries_[index];
        auto const state = runner.breaker.state();
        if (state != circuit_state::closed)
            entry.not_closed.push_back(index);
        if (state == circuit_state::open && !runner.leaving)
            entry.next_probe =
                std::min(entry.next_probe, runner.breaker.next_probe());
        if (!is_usable(runner))
            continue;
        append(entry.usable, index, runner.info.domain);
        for (auto model : runner.models)
            append(entry.by_model[model], index, runner.info.domain);
    }
}

runner_index runner_table::index_of(runner_id runner) const
{
    auto const it = indices_.find(runner);
    return it == indices_.end() ? no_index : it->second;
}

pool_entry* runner_table::find_pool(pool_id pool)
{
    auto const it = pools_.find(pool);
    return it == pools_.end() ? nullptr : &it->second;
}

pool_entry const* runner_table::find_pool(pool_id pool) const
{
    auto const it = pools_.find(pool);
    return it == pools_.end() ? nullptr : &it->second;
}

pool_entry& runner_table::pool_of(runner_index index)
{
    return pools_[entries_[index].info.pool];
}

std::size_t runner_table::bytes() const
{
    auto const group_bytes = [](index_group const& it)
    {
        return it.all.capacity() * sizeof(runner_index) +
               it.domains.capacity() * sizeof(domain_range);
    };
    constexpr auto index_bytes = sizeof(runner_id) + sizeof(runner_index);
    auto total = entries_.capacity() * sizeof(runner_entry);
    total += indices_.capacity() * index_bytes;
    for (auto const& it : entries_)
        total += it.models.capacity() * sizeof(std::uint64_t);
    for (auto const& it : pools_)
    {
        total += sizeof(pool_entry) + group_bytes(it.second.usable);
        total += it.second.members.capacity() * sizeof(runner_index);
        for (auto const& model : it.second.by_model)
            total += sizeof(index_group) + group_bytes(model.second);
    }
    return total;
}

runner_index runner_table::add(runner_info const& info)
{
    runner_index index = no_index;
    if (!free_.empty())
    {
        index = free_.back();
        free_.pop_back();
    }
    else
    {
        index = static_cast<runner_index>(entries_.size());
        entries_.emplace_back();
    }
    entries_[index].info = info;
    entries_[index].listed = true;
    entries_[index].leaving = leaving_.contains(info.id);
    indices_[info.id] = index;
    return index;
}

void runner_table::release(runner_index index)
{
    auto& entry = entries_[index];
    indices_.erase(entry.info.id);
    // The cache generation keeps rising, so that index entries of the old
    // runner do not apply to the next one with this index.
    auto cache = entry.cache;
    cache.clear();
    auto const incarnation = entry.incarnation + 1;
    auto const adapters = entry.adapters_reported;
    entry = runner_entry{};
    entry.cache = cache;
    entry.incarnation = incarnation;
    entry.adapters_reported = static_cast<std::uint16_t>(adapters + 1);
    free_.push_back(index);
}

void runner_table::order_members(pool_entry& pool)
{
    auto const by_domain = [this](runner_index a, runner_index b)
    {
        auto const left = entries_[a].info.domain;
        auto const right = entries_[b].info.domain;
        return left != right ? left < right : a < b;
    };
    std::sort(pool.members.begin(), pool.members.end(), by_domain);
}

} // namespace buckthornvale::decision::routing
