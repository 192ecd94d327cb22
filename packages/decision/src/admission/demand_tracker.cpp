#include <buckthornvale/decision/admission/demand_tracker.hpp>

#include <algorithm>

namespace buckthornvale::decision::admission
{

namespace
{

//! Counters per listed organisation. More counters than entries keep the
//! error of the listed ones small when many light organisations come and go.
constexpr std::size_t counters_per_entry = 4;

//! Growth at which the counts are scaled back, far below overflow.
constexpr double largest_growth = 1e6;

bool lists(demand_summary const& summary, organisation_id id)
{
    return std::any_of(summary.heaviest.begin(), summary.heaviest.end(),
                       [&](auto const& it) { return it.organisation == id; });
}

} // namespace

demand_tracker::demand_tracker(std::size_t summary_organisations,
                               duration memory)
    : listed_(summary_organisations), memory_(memory),
      by_requests_(summary_organisations * counters_per_entry),
      by_cost_(summary_organisations * counters_per_entry)
{
}

void demand_tracker::add_request(organisation_record& record, time_point now)
{
    auto const amount = 1.0 / to_seconds(memory_);
    record.request_rate += static_cast<float>(amount);
    by_requests_.add(record.id, amount * growth(now));
}

void demand_tracker::add_cost(organisation_record& record, rank r, double cost,
                              time_point now)
{
    cost_rate_[index_of(r)].add(cost, memory_, now);
    auto const amount = cost / to_seconds(memory_);
    record.cost_rate[index_of(r)] += static_cast<float>(amount);
    by_cost_.add(record.id, amount * growth(now));
}

demand_summary demand_tracker::summary(absl::Span<pool_backlog const> pools,
                                       organisation_table const& organisations,
                                       time_point now) const
{
    demand_summary out;
    out.pools.reserve(pools.size());
    for (auto const& it : pools)
    {
        pool_demand entry{it.id(), {}};
        for (auto r : all_ranks)
            entry.work_rate[index_of(r)] =
                static_cast<float>(it.offered(r, memory_, now));
        out.pools.push_back(entry);
    }
    for (std::size_t r = 0; r < rank_count; ++r)
        out.cost_rate[r] = static_cast<float>(cost_rate_[r].at(memory_, now));
    auto const half = (listed_ + 1) / 2;
    auto const requests = by_requests_.heaviest(half + 1);
    list(out, by_cost_.heaviest(listed_ - half), organisations, now);
    for (std::size_t i = 0; i < std::min(half, requests.size()); ++i)
        list(out, {requests[i]}, organisations, now);
    if (requests.size() > half)
        out.unlisted_request_rate = static_cast<float>(
            requests.back().count * decay_factor(now - origin_, memory_));
    return out;
}

double demand_tracker::growth(time_point now)
{
    auto factor = 1.0 / decay_factor(now - origin_, memory_);
    if (factor < largest_growth)
        return factor;
    by_requests_.scale(1.0 / factor);
    by_cost_.scale(1.0 / factor);
    origin_ = now;
    return 1.0;
}

void demand_tracker::list(demand_summary& out,
                          std::vector<space_saving::entry> const& entries,
                          organisation_table const& organisations,
                          time_point now) const
{
    for (auto const& it : entries)
    {
        auto const* const found = organisations.find(it.organisation);
        if (found == nullptr || lists(out, it.organisation))
            continue;
        auto record = *found;
        record.decay(memory_, now);
        organisation_demand entry;
        entry.organisation = it.organisation;
        entry.request_rate = record.request_rate;
        entry.in_flight = static_cast<float>(record.in_flight);
        entry.cost_rate = record.cost_rate;
        out.heaviest.push_back(entry);
    }
}

} // namespace buckthornvale::decision::admission
