#include <buckthornvale/decision/admission/peer_view.hpp>

#include <algorithm>

namespace buckthornvale::decision::admission
{

peer_view::peer_view(duration summary_lifetime, duration fleet_size_window)
    : summary_lifetime_(summary_lifetime), fleet_size_window_(fleet_size_window)
{
}

void peer_view::set_fleet(std::size_t live_vms, time_point now)
{
    auto const size = std::max<std::size_t>(live_vms, 1);
    while (!earlier_sizes_.empty() && earlier_sizes_.back().second <= live_vms_)
        earlier_sizes_.pop_back();
    if (size < live_vms_)
        earlier_sizes_.emplace_back(now, live_vms_);
    live_vms_ = size;
    expire_earlier_sizes(now);
}

void peer_view::update(vm_id peer, demand_summary const& summary,
                       time_point now)
{
    peers_[peer] = received_summary{summary, now};
}

void peer_view::refresh(time_point now)
{
    expire_earlier_sizes(now);
    fresh_.clear();
    fresh_vms_ = 0;
    organisations_.clear();
    unlisted_rate_sum_ = 0.0;
    unlisted_rate_max_ = 0.0;
    for (auto it = peers_.begin(); it != peers_.end();)
        it = now - it->second.received_at > fleet_size_window_
                 ? peers_.erase(it)
                 : ++it;
    for (auto const& entry : peers_)
    {
        auto const& it = entry.second;
        if (now - it.received_at > summary_lifetime_)
            continue;
        fresh_.push_back(&it.summary);
        fresh_vms_ += it.summary.vms;
        add_organisations(it.summary);
        double const bound = it.summary.unlisted_request_rate;
        unlisted_rate_sum_ += bound;
        unlisted_rate_max_ = std::max(unlisted_rate_max_, bound);
    }
}

std::size_t peer_view::fleet_size() const
{
    return std::max(live_vms_, fresh_vms_ + 1);
}

std::size_t peer_view::largest_fleet_size() const
{
    auto const earlier =
        earlier_sizes_.empty() ? 0 : earlier_sizes_.front().second;
    return std::max(fleet_size(), earlier);
}

std::size_t peer_view::stale_vms() const
{
    return largest_fleet_size() - 1 - fresh_vms_;
}

peer_organisation_demand peer_view::organisation(organisation_id id) const
{
    auto const it = organisations_.find(id);
    return it == organisations_.end() ? peer_organisation_demand{} : it->second;
}

void peer_view::expire_earlier_sizes(time_point now)
{
    while (!earlier_sizes_.empty() &&
           (now - earlier_sizes_.front().first > fleet_size_window_ ||
            earlier_sizes_.front().second <= live_vms_))
        earlier_sizes_.pop_front();
}

void peer_view::add_organisations(demand_summary const& summary)
{
    for (auto const& it : summary.heaviest)
    {
        auto& sum = organisations_[it.organisation];
        sum.request_rate += it.request_rate;
        sum.in_flight += it.in_flight;
        sum.listed_bounds += summary.unlisted_request_rate;
        for (std::size_t r = 0; r < rank_count; ++r)
            sum.cost_rate[r] += it.cost_rate[r];
    }
}

} // namespace buckthornvale::decision::admission
