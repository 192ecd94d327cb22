#include <buckthornvale/decision/fleet/summary.hpp>

#include <algorithm>
#include <numeric>

namespace buckthornvale::decision::fleet
{

namespace
{

double load_size(pool_load const& load)
{
    return std::accumulate(load.in_flight.begin(), load.in_flight.end(), 0.) +
           std::accumulate(load.demand.begin(), load.demand.end(), 0.);
}

double load_size(organisation_load const& load)
{
    return load.requests_per_second + load.concurrent;
}

// Drops the smallest entries beyond the limit. Ties are broken by id, so that
// the result does not depend on the order of additions.
template <class Load, class Id>
void keep_heaviest(std::vector<Load>& loads, std::size_t max_entries, Id id)
{
    std::sort(loads.begin(), loads.end(),
              [&](Load const& a, Load const& b)
              {
                  auto const left = load_size(a);
                  auto const right = load_size(b);
                  return left != right ? left > right : a.*id < b.*id;
              });
    if (loads.size() > max_entries)
        loads.resize(max_entries);
}

using amounts = std::array<double, rank_count>;

void add_amounts(amounts& sum, amounts const& other)
{
    for (std::size_t i = 0; i < rank_count; ++i)
        sum[i] += other[i];
}

void subtract_amounts(amounts& sum, amounts const& part)
{
    for (std::size_t i = 0; i < rank_count; ++i)
        sum[i] = std::max(0., sum[i] - part[i]);
}

void add_pool(load_summary& sum, pool_load const& load)
{
    auto const it = std::find_if(sum.pools.begin(), sum.pools.end(),
                                 [&](pool_load const& entry)
                                 { return entry.pool == load.pool; });
    if (it == sum.pools.end())
    {
        sum.pools.push_back(load);
        return;
    }
    add_amounts(it->in_flight, load.in_flight);
    add_amounts(it->demand, load.demand);
}

void add_organisation(load_summary& sum, organisation_load const& load)
{
    auto const it =
        std::find_if(sum.organisations.begin(), sum.organisations.end(),
                     [&](organisation_load const& entry)
                     { return entry.organisation == load.organisation; });
    if (it == sum.organisations.end())
    {
        sum.organisations.push_back(load);
        return;
    }
    it->requests_per_second += load.requests_per_second;
    it->concurrent += load.concurrent;
    add_amounts(it->cost_rate, load.cost_rate);
}

void add_mark(load_summary& sum, isolation::isolation_mark const& mark)
{
    auto const it = std::find_if(sum.marks.begin(), sum.marks.end(),
                                 [&](isolation::isolation_mark const& entry)
                                 { return entry.content == mark.content; });
    if (it != sum.marks.end())
        *it = isolation::merge(*it, mark);
    else if (sum.marks.size() < max_summary_marks)
        sum.marks.push_back(mark);
}

// Largest request rate among the organisations that are about to be dropped. It
// is added to the bound for unlisted organisations, because an organisation
// that one part does not list may have had the rate of that part's bound as
// well.
double max_dropped_request_rate(std::vector<organisation_load> const& loads)
{
    double largest = 0.;
    for (std::size_t i = max_summary_organisations; i < loads.size(); ++i)
        largest = std::max(largest, loads[i].requests_per_second);
    return largest;
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
    add_amounts(sum.cost_rate, other.cost_rate);
    sum.unlisted_request_rate += other.unlisted_request_rate;
    keep_heaviest(sum.organisations, sum.organisations.size(),
                  &organisation_load::organisation);
    sum.unlisted_request_rate += max_dropped_request_rate(sum.organisations);
    keep_heaviest(sum.pools, max_summary_pools, &pool_load::pool);
    keep_heaviest(sum.organisations, max_summary_organisations,
                  &organisation_load::organisation);
}

void subtract(load_summary& sum, load_summary const& part)
{
    sum.vms -= std::min(sum.vms, part.vms);
    subtract_amounts(sum.cost_rate, part.cost_rate);
    for (auto& it : sum.pools)
    {
        auto const matching = std::find_if(part.pools.begin(), part.pools.end(),
                                           [&](pool_load const& other)
                                           { return other.pool == it.pool; });
        if (matching == part.pools.end())
            continue;
        subtract_amounts(it.in_flight, matching->in_flight);
        subtract_amounts(it.demand, matching->demand);
    }
    for (auto& it : sum.organisations)
    {
        auto const matching =
            std::find_if(part.organisations.begin(), part.organisations.end(),
                         [&](organisation_load const& other)
                         { return other.organisation == it.organisation; });
        if (matching == part.organisations.end())
            continue;
        it.requests_per_second = std::max(
            0., it.requests_per_second - matching->requests_per_second);
        it.concurrent = std::max(0., it.concurrent - matching->concurrent);
        subtract_amounts(it.cost_rate, matching->cost_rate);
    }
}

} // namespace buckthornvale::decision::fleet
