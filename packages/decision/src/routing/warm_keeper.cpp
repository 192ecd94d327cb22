#include <buckthornvale/decision/routing/warm_keeper.hpp>

#include <xxhash.h>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

//! Budget that may be saved up, as time at the budget's rate.
constexpr double saved_up_s = 60.;
constexpr double least_work_s = 1e-3;

double value_of(warm_target const& target)
{
    return target.worth / std::max(least_work_s, to_seconds(target.work));
}

std::uint64_t weight_of(vm_id vm, warm_target const& target)
{
    std::uint64_t const key[] = {vm.value, target.organisation.value,
                                 target.pool.value};
    return XXH3_64bits(key, sizeof key);
}

} // namespace

warm_keeper::warm_keeper(warm_settings settings) : settings_(settings) {}

void warm_keeper::keep(warm_target target, time_point now)
{
    if (target.prefix_blocks.size() > settings_.most_blocks)
        target.prefix_blocks.resize(settings_.most_blocks);
    if (auto* const known = find(target.organisation, target.pool))
        known->target = std::move(target);
    else
        targets_.push_back({std::move(target), now, now});
    auto const better = [](kept const& a, kept const& b)
    { return value_of(a.target) > value_of(b.target); };
    std::stable_sort(targets_.begin(), targets_.end(), better);
    make_room();
}

void warm_keeper::forget(organisation_id organisation)
{
    auto const same = [organisation](kept const& it)
    { return it.target.organisation == organisation; };
    targets_.erase(std::remove_if(targets_.begin(), targets_.end(), same),
                   targets_.end());
}

void warm_keeper::set_vms(vm_id self, absl::Span<vm_id const> live)
{
    self_ = self;
    live_.assign(live.begin(), live.end());
}

void warm_keeper::set_slots(double slots, time_point now)
{
    earn(now);
    slots_ = slots;
}

void warm_keeper::used(organisation_id organisation, pool_id pool,
                       time_point now)
{
    auto* const known = find(organisation, pool);
    if (known == nullptr)
        return;
    auto const lifetime = settings_.cache_lifetime;
    bool const cold_without = now - known->used > lifetime;
    bool const refreshed = now - known->refreshed <= lifetime;
    counters_.warm_hits += cold_without && refreshed ? 1 : 0;
    known->used = now;
}

void warm_keeper::due(time_point now, std::vector<warm_target const*>& out)
{
    earn(now);
    auto const wait = from_seconds(to_seconds(settings_.cache_lifetime) *
                                   settings_.refresh_at);
    for (auto& it : targets_)
    {
        auto const last = std::max(it.used, it.refreshed);
        if (now - last < wait || !owns(it.target))
            continue;
        double const work = to_seconds(it.target.work);
        if (work > budget_s_)
        {
            ++counters_.over_budget;
            continue;
        }
        budget_s_ -= work;
        it.refreshed = now;
        ++counters_.refreshes;
        counters_.work_s += work;
        out.push_back(&it.target);
    }
}

warm_keeper::kept* warm_keeper::find(organisation_id organisation, pool_id pool)
{
    auto const same = [&](kept const& it) {
        return it.target.organisation == organisation && it.target.pool == pool;
    };
    auto const it = std::find_if(targets_.begin(), targets_.end(), same);
    return it == targets_.end() ? nullptr : &*it;
}

bool warm_keeper::owns(warm_target const& target) const
{
    auto const own = weight_of(self_, target);
    return std::none_of(live_.begin(), live_.end(),
                        [&](vm_id vm) { return weight_of(vm, target) > own; });
}

void warm_keeper::earn(time_point now)
{
    // Each VM earns its part of the fleet's budget.
    auto const vms = std::max<std::size_t>(1, live_.size());
    double const rate = settings_.budget_share * slots_ / double(vms);
    double const earned = rate * to_seconds(now - earned_);
    budget_s_ = std::min(rate * saved_up_s, budget_s_ + earned);
    earned_ = now;
}

void warm_keeper::make_room()
{
    if (targets_.size() <= settings_.most_targets)
        return;
    counters_.dropped += targets_.size() - settings_.most_targets;
    targets_.resize(settings_.most_targets);
}

} // namespace buckthornvale::decision::routing
