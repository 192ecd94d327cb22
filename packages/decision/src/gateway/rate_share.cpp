#include <buckthornvale/decision/gateway/rate_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Regular senders beyond one for each request per second.
constexpr std::size_t min_regular_senders = 4;

//! Share of the limit that all other VMs together may use in addition.
constexpr double occasional_share = 1.0 / 8;

//! A runner that takes nothing now and then gets a request nevertheless, since
//! nothing else tells that it takes some again.
constexpr double min_limit_per_s = 0.05;

//! Above this rate, in requests per second, a limit is none for a VM.
constexpr double max_limit_per_s = 1e6;

//! Share of the bound on a second that is not given out. The lists of VMs may
//! differ for some time while VMs join and leave, so that more of them send.
constexpr double list_difference_share = 1.0 / 4;

//! Limit that the regular senders use, and what a second may hold of it.
struct strict_limit
{
    double per_s;
    double max_in_second;

    //! Number of requests in a second if the sends of all senders coincide.
    double most_in_second(std::size_t senders) const
    {
        return double(senders) * (1 + std::floor(per_s / double(senders)));
    }
};

strict_limit strict_limit_of(fleet_limit const& limit)
{
    double const most = *limit.max_in_second * (1 - list_difference_share);
    return {std::clamp(limit.per_s, min_limit_per_s,
                       std::max(most - 1, min_limit_per_s)),
            most};
}

std::size_t regular_senders(strict_limit const& limit, std::size_t vm_count)
{
    auto out = std::min(
        vm_count,
        std::size_t(std::clamp(limit.max_in_second, 0.0, max_limit_per_s)));
    while (out > 0 && limit.most_in_second(out) > limit.max_in_second)
        --out;
    return out;
}

duration send_interval(strict_limit const& limit, share_position of)
{
    auto const senders = regular_senders(limit, of.vm_count);
    if (of.position >= senders)
        return duration::max();
    return from_seconds(double(senders) / limit.per_s);
}

//! The sum of two times, or the end of time.
time_point later_by(time_point from, duration by)
{
    return by >= time_point::max() - from ? time_point::max() : from + by;
}

} // namespace

std::size_t regular_senders(fleet_limit limit, std::size_t vm_count)
{
    if (limit.max_in_second)
        return regular_senders(strict_limit_of(limit), vm_count);
    double const wanted =
        std::floor(std::clamp(limit.per_s, 0.0, max_limit_per_s)) +
        double(min_regular_senders);
    return std::min(std::size_t(wanted), vm_count);
}

duration send_interval(fleet_limit limit, share_position of)
{
    if (of.vm_count == 0)
        return duration::max();
    if (limit.max_in_second)
        return send_interval(strict_limit_of(limit), of);
    double const per_s =
        std::clamp(limit.per_s, min_limit_per_s, max_limit_per_s);
    auto const senders = regular_senders(per_s, of.vm_count);
    double const vms_per_request = of.position < senders
                                       ? double(senders)
                                       : double(of.vm_count) / occasional_share;
    return from_seconds(vms_per_request / per_s);
}

void rate_share::set(fleet_limit limit, share_position of, double spread,
                     time_point now)
{
    limit_per_s_ = limit.per_s;
    auto const former = std::exchange(interval_, send_interval(limit, of));
    if (interval_ == former)
        return;
    if (interval_ == duration::max())
    {
        next_send_ = time_point::max();
        return;
    }
    auto const first = now + from_seconds(spread * to_seconds(interval_));
    next_send_ = interval_ > former ? std::max(next_send_, first)
                                    : std::min(next_send_, first);
    if (last_send_)
        next_send_ = std::max(next_send_, later_by(*last_send_, interval_));
}

std::size_t rate_share::sends_until(time_point until, time_point now) const
{
    auto const first = std::max(next_send_, now);
    if (first == time_point::max() || first > until)
        return 0;
    return 1 + std::size_t((until - first) / interval_);
}

void rate_share::count_send(time_point now)
{
    last_send_ = now;
    next_send_ = later_by(now, interval_);
}

} // namespace buckthornvale::decision::gateway
