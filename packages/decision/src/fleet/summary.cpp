#include <buckthornvale/decision/fleet/summary.hpp>

#include <algorithm>
#include <numeric>

namespace buckthornvale::decision::fleet
{

namespace
{

double weight_of(pool_load const& load)
{
    return std::accumulate(load.in_flight.begin(), load.in_flight.end(), 0.) +
           std::accumulate(load.demand.begin(), load.demand.end(), 0.);
}

double weight_of(organisation_load const& load)
{
    return load.requests_per_second + load.concurrent;
}

// Drops the smallest entries above the bound; ties by id, so that the result
// does not depend on the order of additions.
template <class Load, class Id>
void keep_heaviest(std::vector<Load>& loads, std::size_t most, Id id)
{
    std::sort(loads.begin(), loads.end(),
              [&](Load const& a, Load const& b)
              {
                  auto const left = weight_of(a);
                  auto const right = weight_of(b);
                  return left != right ? left > right : a.*id < b.*id;
              });
    if (loads.size() > most)
        loads.resize(most);
}

void add_pool(load_summary& sum, pool_load const& load)
{
    auto const it = std::find_if(sum.pools.begin(), sum.pools.end(),
                                 [&](pool_load const& held)
                                 { return held.pool == load.pool; });
    if (it == sum.pools.end())
    {
        sum.pools.push_back(load);
        return;
    }
    for (std::size_t i = 0; i < rank_count; ++i)
    {
        it->in_flight[i] += load.in_flight[i];
        it->demand[i] += load.demand[i];
    }
}

void add_organisation(load_summary& sum, organisation_load const& load)
{
    auto const it =
        std::find_if(sum.organisations.begin(), sum.organisations.end(),
                     [&](organisation_load const& held)
                     { return held.organisation == load.organisation; });
    if (it == sum.organisations.end())
    {
        sum.organisations.push_back(load);
        return;
    }
    it->requests_per_second += load.requests_per_second;
    it->concurrent += load.concurrent;
}

void add_mark(load_summary& sum, isolation_mark const& mark)
{
    auto const it =
        std::find_if(sum.marks.begin(), sum.marks.end(),
                     [&](isolation_mark const& held) {
                         return held.high == mark.high && held.low == mark.low;
                     });
    if (it != sum.marks.end())
        it->isolated = it->isolated || mark.isolated;
    else if (sum.marks.size() < max_summary_marks)
        sum.marks.push_back(mark);
}

} // namespace

void add(load_summary& sum, load_summary const& other)
{
    sum.vms += other.vms;
    sum.settings_revision =
        std::max(sum.settings_revision, other.settings_revision);
    for (auto const& it : other.pools)
        add_pool(sum, it);
    for (auto const& it : other.organisations)
        add_organisation(sum, it);
    for (auto const& it : other.marks)
        add_mark(sum, it);
    keep_heaviest(sum.pools, max_summary_pools, &pool_load::pool);
    keep_heaviest(sum.organisations, max_summary_organisations,
                  &organisation_load::organisation);
}

} // namespace buckthornvale::decision::fleet
