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

//! The sum of two times, or the end of time.
time_point later_by(time_point from, duration by)
{
    return by >= time_point::max() - from ? time_point::max() : from + by;
}

} // namespace

std::size_t regular_senders(double limit_per_s, std::size_t vm_count)
{
    double const wanted =
        std::floor(std::clamp(limit_per_s, 0.0, max_limit_per_s)) +
        double(min_regular_senders);
    return std::min(std::size_t(wanted), vm_count);
}

duration send_interval(double limit_per_s, share_position of)
{
    if (of.vm_count == 0)
        return duration::max();
    double const limit =
        std::clamp(limit_per_s, min_limit_per_s, max_limit_per_s);
    auto const senders = regular_senders(limit, of.vm_count);
    double const vms_per_request = of.position < senders
                                       ? double(senders)
                                       : double(of.vm_count) / occasional_share;
    return from_seconds(vms_per_request / limit);
}

void rate_share::set(double limit_per_s, share_position of, double spread,
                     time_point now)
{
    limit_per_s_ = limit_per_s;
    auto const former =
        std::exchange(interval_, send_interval(limit_per_s, of));
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
