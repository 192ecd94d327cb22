#include <buckthornvale/decision/admission/demand_tracker.hpp>

#include <algorithm>

namespace buckthornvale::decision::admission
{

namespace
{

//! Sketch counters per listed organisation. A surplus of counters keeps the
//! error of the listed organisations small when many light ones come and go.
constexpr std::size_t sketch_counters_per_entry = 4;

//! Weight at which the counts are scaled back, far below overflow.
constexpr double max_forward_weight = 1e6;

bool is_listed(demand_summary const& summary, organisation_id id)
{
    return std::any_of(summary.heaviest.begin(), summary.heaviest.end(),
                       [&](auto const& it) { return it.organisation == id; });
}

} // namespace

demand_tracker::demand_tracker(std::size_t summary_organisations,
                               duration time_constant)
    : max_listed_(summary_organisations), time_constant_(time_constant),
      request_sketch_(summary_organisations * sketch_counters_per_entry),
      cost_sketch_(summary_organisations * sketch_counters_per_entry)
{
}

void demand_tracker::add_request(organisation_record& record, time_point now)
{
    auto const amount = 1.0 / to_seconds(time_constant_);
    record.request_rate += static_cast<float>(amount);
    request_sketch_.add(record.id, amount * forward_weight(now));
}

void demand_tracker::add_cost(organisation_record& record, rank r, double cost,
                              time_point now)
{
    cost_rate_[index_of(r)].add(cost, time_constant_, now);
    auto const amount = cost / to_seconds(time_constant_);
    record.cost_rate[index_of(r)] += static_cast<float>(amount);
    cost_sketch_.add(record.id, amount * forward_weight(now));
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
                static_cast<float>(it.offered_rate(r, time_constant_, now));
        out.pools.push_back(entry);
    }
    for (std::size_t r = 0; r < rank_count; ++r)
        out.cost_rate[r] =
            static_cast<float>(cost_rate_[r].at(time_constant_, now));
    auto const half = (max_listed_ + 1) / 2;
    auto const requests = request_sketch_.heaviest(half + 1);
    append_entries(out, cost_sketch_.heaviest(max_listed_ - half),
                   organisations, now);
    for (std::size_t i = 0; i < std::min(half, requests.size()); ++i)
        append_entries(out, {requests[i]}, organisations, now);
    if (requests.size() > half)
        out.unlisted_request_rate = static_cast<float>(
            requests.back().count *
            decay_factor(now - decay_origin_, time_constant_));
    return out;
}

double demand_tracker::forward_weight(time_point now)
{
    auto factor = 1.0 / decay_factor(now - decay_origin_, time_constant_);
    if (factor < max_forward_weight)
        return factor;
    request_sketch_.scale(1.0 / factor);
    cost_sketch_.scale(1.0 / factor);
    decay_origin_ = now;
    return 1.0;
}

void demand_tracker::append_entries(
    demand_summary& out, std::vector<space_saving::entry> const& entries,
    organisation_table const& organisations, time_point now) const
{
    for (auto const& it : entries)
    {
        auto const* const found = organisations.find(it.organisation);
        if (found == nullptr || is_listed(out, it.organisation))
            continue;
        auto record = *found;
        record.decay(time_constant_, now);
        organisation_demand entry;
        entry.organisation = it.organisation;
        entry.request_rate = record.request_rate;
        entry.in_flight = static_cast<float>(record.in_flight);
        entry.cost_rate = record.cost_rate;
        out.heaviest.push_back(entry);
    }
}

} // namespace buckthornvale::decision::admission
