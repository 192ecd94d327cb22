#include <buckthornvale/decision/admission/organisation_limiter.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::admission
{

namespace
{

//! Fraction of a limit that the demand of this VM accounts for. Peers that do
//! not list the organisation are assumed to be at their bound, so that the sum
//! over all VMs stays within the limit.
double fraction_of_demand(double own, peer_organisation_demand const& listed,
                          peer_view const& peers)
{
    auto const fresh_vms = static_cast<double>(peers.fresh_vms() + 1);
    auto const unlisted =
        std::max(0.0, peers.unlisted_request_rate() - listed.listed_bounds);
    bool const light = listed.request_rate <= 0.0 &&
                       own <= peers.largest_unlisted_request_rate();
    if (light)
        return 1.0 / fresh_vms;
    auto const total = own + listed.request_rate + unlisted;
    return total > 0.0 ? own / total : 1.0 / fresh_vms;
}

} // namespace

limit_share share_of_limit(organisation_record const& record,
                           peer_view const& peers)
{
    auto const listed = peers.organisation(record.id);
    auto const fleet = static_cast<double>(peers.largest_fleet_size());
    auto const stale = static_cast<double>(peers.stale_vms());
    limit_share out;
    out.fraction = (fleet - stale) / fleet *
                   fraction_of_demand(record.request_rate, listed, peers);
    out.peers_in_flight = listed.in_flight;
    out.all_fresh = peers.stale_vms() == 0;
    return out;
}

bool take_rate_token(organisation_record& record, double requests_per_second,
                     duration burst, limit_share const& share, time_point now)
{
    auto const rate = requests_per_second * share.fraction;
    auto const capacity = std::max(1.0, rate * to_seconds(burst));
    auto const earned = rate * to_seconds(now - record.bucket_refilled_at);
    record.tokens = record.tokens < 0.0
                        ? capacity
                        : std::min(capacity, record.tokens + earned);
    record.bucket_refilled_at = now;
    if (record.tokens < 1.0)
        return false;
    record.tokens -= 1.0;
    return true;
}

duration rate_retry_after(organisation_record const& record,
                          double requests_per_second, limit_share const& share)
{
    auto const rate = requests_per_second * share.fraction;
    auto const missing = std::max(0.0, 1.0 - record.tokens);
    return from_seconds(std::min(missing / std::max(rate, 1e-3), 60.0));
}

bool within_concurrency_share(organisation_record const& record,
                              std::uint32_t concurrent,
                              limit_share const& share)
{
    auto const allowed = concurrent * share.fraction;
    double const own = record.in_flight;
    if (own + 1.0 <= std::floor(allowed))
        return true;
    // A fractional share is rounded up while the sum over the fleet stays
    // within the limit. Without fresh summaries each VM may still run one
    // request; otherwise a limit below the fleet size would block the
    // organisation completely.
    if (share.all_fresh)
        return own < std::ceil(allowed) &&
               own + share.peers_in_flight + 1.0 <= concurrent;
    return own < 1.0;
}

} // namespace buckthornvale::decision::admission
