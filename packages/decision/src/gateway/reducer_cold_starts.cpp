#include "milliseconds_text.hpp"
#include <buckthornvale/decision/gateway/reducer.hpp>

namespace buckthornvale::decision::gateway
{

std::optional<fleet_limit> reducer::cold_limit(std::string_view service) const
{
    auto const* found =
        manifest_ != nullptr ? manifest_->find_service(service) : nullptr;
    if (!settings_.cold_starts || found == nullptr ||
        found->cold_requests_per_s <= 0)
        return std::nullopt;
    double const per_s = found->cold_requests_per_s;
    auto const& bounds = *settings_.cold_starts;
    return fleet_limit(per_s, per_s * bounds.rate_factor + bounds.slack);
}

void reducer::assign_cold_share(runner_state& state, time_point now)
{
    auto const limit = cold_limit(state.entry.service);
    auto& share = state.cold->share;
    if (!limit)
    {
        share.reset();
        return;
    }
    if (!share)
        share.emplace();
    share->set(*limit, share_of(state, now), spread_of(state.entry.id), now);
}

void reducer::record_cold_start(runner_state& state, bool restored,
                                time_point now)
{
    if (!settings_.cold_starts ||
        !runner_directory::record_cold_start(state, state.entry.cold_time_left,
                                             restored, now))
        return;
    assign_cold_share(state, now);
    auto const& share = state.cold->share;
    bool const sends = share && share->interval() != duration::max();
    log("runner_cold", nullptr,
        {{"runner", state.entry.id},
         {"cold_ms", milliseconds_text(state.cold->ends_at - now)},
         {"per_s", share ? std::to_string(share->limit_per_s()) : ""},
         {"send_interval_ms",
          sends ? milliseconds_text(share->interval()) : ""}});
}

void reducer::record_cold_starts(runners_listed const& in, time_point now)
{
    for (auto const& it : in.runners)
        if (auto* state = runners_.find(it.id))
            record_cold_start(*state, in.restored, now);
}

} // namespace buckthornvale::decision::gateway
