#include <buckthornvale/decision/routing/cache_warmer.hpp>

#include <xxhash.h>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

//! Maximum accumulated budget, as time at the budget's rate.
constexpr double max_accrual_s = 60.;
constexpr double min_work_s = 1e-3;

double worth_per_second(warm_target const& target)
{
    return target.worth / std::max(min_work_s, to_seconds(target.work));
}

std::uint64_t rendezvous_weight(vm_id vm, warm_target const& target)
{
    std::uint64_t const key[] = {vm.value, target.organisation.value,
                                 target.pool.value};
    return XXH3_64bits(key, sizeof key);
}

} // namespace

cache_warmer::cache_warmer(warm_settings settings) : settings_(settings) {}

void cache_warmer::add_target(warm_target target, time_point now)
{
    if (target.prefix_blocks.size() > settings_.max_blocks)
        target.prefix_blocks.resize(settings_.max_blocks);
    if (auto* const known = find(target.organisation, target.pool))
        known->target = std::move(target);
    else
        targets_.push_back({std::move(target), now, now});
    auto const better = [](tracked_target const& a, tracked_target const& b)
    { return worth_per_second(a.target) > worth_per_second(b.target); };
    std::stable_sort(targets_.begin(), targets_.end(), better);
    drop_excess();
}

void cache_warmer::remove_targets(organisation_id organisation)
{
    auto const same = [organisation](tracked_target const& it)
    { return it.target.organisation == organisation; };
    targets_.erase(std::remove_if(targets_.begin(), targets_.end(), same),
                   targets_.end());
}

void cache_warmer::set_vms(vm_id self, absl::Span<vm_id const> live)
{
    self_ = self;
    live_.assign(live.begin(), live.end());
}

void cache_warmer::set_slots(double slots, time_point now)
{
    accrue_budget(now);
    slots_ = slots;
}

void cache_warmer::record_use(organisation_id organisation, pool_id pool,
                              time_point now)
{
    auto* const known = find(organisation, pool);
    if (known == nullptr)
        return;
    auto const lifetime = settings_.cache_lifetime;
    bool const cold_without = now - known->last_used > lifetime;
    bool const is_refreshed = now - known->last_refreshed <= lifetime;
    counters_.warm_hits += cold_without && is_refreshed ? 1 : 0;
    known->last_used = now;
}

void cache_warmer::take_due(time_point now,
                            std::vector<warm_target const*>& out)
{
    accrue_budget(now);
    auto const wait = from_seconds(to_seconds(settings_.cache_lifetime) *
                                   settings_.refresh_at);
    for (auto& it : targets_)
    {
        auto const last = std::max(it.last_used, it.last_refreshed);
        if (now - last < wait || !owns(it.target))
            continue;
        double const work = to_seconds(it.target.work);
        if (work > budget_s_)
        {
            ++counters_.over_budget;
            continue;
        }
        budget_s_ -= work;
        it.last_refreshed = now;
        ++counters_.refreshes;
        counters_.work_s += work;
        out.push_back(&it.target);
    }
}

cache_warmer::tracked_target* cache_warmer::find(organisation_id organisation,
                                                 pool_id pool)
{
    auto const same = [&](tracked_target const& it) {
        return it.target.organisation == organisation && it.target.pool == pool;
    };
    auto const it = std::find_if(targets_.begin(), targets_.end(), same);
    return it == targets_.end() ? nullptr : &*it;
}

bool cache_warmer::owns(warm_target const& target) const
{
    auto const own = rendezvous_weight(self_, target);
    return std::none_of(live_.begin(), live_.end(),
                        [&](vm_id vm)
                        { return rendezvous_weight(vm, target) > own; });
}

void cache_warmer::accrue_budget(time_point now)
{
    // Each VM accrues its share of the fleet's budget.
    auto const vms = std::max<std::size_t>(1, live_.size());
    double const rate = settings_.budget_share * slots_ / double(vms);
    double const accrued = rate * to_seconds(now - accrued_at_);
    budget_s_ = std::min(rate * max_accrual_s, budget_s_ + accrued);
    accrued_at_ = now;
}

void cache_warmer::drop_excess()
{
    if (targets_.size() <= settings_.max_targets)
        return;
    counters_.dropped += targets_.size() - settings_.max_targets;
    targets_.resize(settings_.max_targets);
}

} // namespace buckthornvale::decision::routing
