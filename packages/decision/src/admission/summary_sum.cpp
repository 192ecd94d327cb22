#include <buckthornvale/decision/admission/summary_sum.hpp>

#include <algorithm>
#include <map>
#include <numeric>

namespace buckthornvale::decision::admission
{

namespace
{

using rates = std::array<float, rank_count>;

void add(rates& sum, rates const& part)
{
    for (std::size_t r = 0; r < rank_count; ++r)
        sum[r] += part[r];
}

float total(rates const& value)
{
    return std::accumulate(value.begin(), value.end(), 0.0F);
}

//! Copies the heaviest entries to `out`; returns the largest request rate that
//! is left out.
float keep_heaviest(std::vector<organisation_demand> all, std::size_t n,
                    std::vector<organisation_demand>& out)
{
    auto const by_requests = [](auto const& a, auto const& b)
    { return a.request_rate > b.request_rate; };
    auto const by_cost = [](auto const& a, auto const& b)
    { return total(a.cost_rate) > total(b.cost_rate); };
    std::sort(all.begin(), all.end(), by_requests);
    auto const half = std::min((n + 1) / 2, all.size());
    auto const rest = all.begin() + static_cast<std::ptrdiff_t>(half);
    std::sort(rest, all.end(), by_cost);
    auto const kept = std::min(n, all.size());
    out.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept));
    float largest = 0.0F;
    for (std::size_t i = kept; i < all.size(); ++i)
        largest = std::max(largest, all[i].request_rate);
    return largest;
}

} // namespace

demand_summary sum_summaries(absl::Span<demand_summary const> parts,
                             std::size_t organisations)
{
    demand_summary out;
    out.vms = 0;
    std::map<pool_id, rates> pools;
    std::map<organisation_id, organisation_demand> listed;
    for (auto const& part : parts)
    {
        out.vms += part.vms;
        add(out.cost_rate, part.cost_rate);
        out.unlisted_request_rate += part.unlisted_request_rate;
        for (auto const& it : part.pools)
            add(pools[it.pool], it.work_rate);
        for (auto const& it : part.heaviest)
        {
            auto& sum = listed[it.organisation];
            sum.organisation = it.organisation;
            sum.request_rate += it.request_rate;
            sum.in_flight += it.in_flight;
            add(sum.cost_rate, it.cost_rate);
        }
    }
    for (auto const& [pool, rate] : pools)
        out.pools.push_back({pool, rate});
    std::vector<organisation_demand> all;
    all.reserve(listed.size());
    for (auto const& entry : listed)
        all.push_back(entry.second);
    out.unlisted_request_rate +=
        keep_heaviest(std::move(all), organisations, out.heaviest);
    return out;
}

} // namespace buckthornvale::decision::admission
