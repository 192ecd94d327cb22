#include <buckthornvale/decision/routing/load_estimate.hpp>

#include <algorithm>
#include <limits>

namespace buckthornvale::decision::routing
{

void load_estimate::sent(time_point now)
{
    advance(now);
    if (own_requests_ == 0)
        last_progress_ = now;
    ++own_requests_;
}

void load_estimate::finished(time_point now)
{
    advance(now);
    if (own_requests_ > 0)
        --own_requests_;
    last_progress_ = now;
}

bool load_estimate::report(load_report const& value, time_point now)
{
    auto const measured_at = now - value.age;
    // A restarted engine starts its sequence again, so a lower sequence is
    // stale only if its figures are older as well.
    bool const stale = has_report_ && value.sequence <= sequence_ &&
                       measured_at <= reported_at_;
    if (stale)
        return false;
    advance(now);
    own_requests_at_report_ = own_requests_at(measured_at);
    other_requests_ = std::max(0., value.running + value.queued -
                                       double(own_requests_at_report_));
    sequence_ = value.sequence;
    reported_at_ = measured_at;
    has_report_ = true;
    return true;
}

double load_estimate::total(time_point now, load_assumptions const& given) const
{
    double const own = own_requests_;
    if (!has_report_)
        return own + given.mean_other_requests;
    double const change = own - double(own_requests_at_report_);
    double const others =
        std::max(0., other_requests_ + given.correlated_peers * change);
    auto const over = now - reported_at_ - given.fresh_age;
    if (over <= duration::zero())
        return own + others;
    double const lost =
        std::min(1., to_seconds(over) / to_seconds(given.fresh_age));
    return own + others + (given.mean_other_requests - others) * lost;
}

void load_estimate::advance(time_point now)
{
    auto const step = now.time_since_epoch() / history_step;
    constexpr std::uint32_t largest = std::numeric_limits<std::uint16_t>::max();
    auto const kept =
        static_cast<std::uint16_t>(std::min(own_requests_, largest));
    auto const first =
        std::max(step_, step - static_cast<std::int64_t>(history_size));
    for (auto it = first; it < step; ++it)
        history_[static_cast<std::size_t>(it) % history_size] = kept;
    step_ = std::max(step_, step);
}

std::uint32_t load_estimate::own_requests_at(time_point when) const
{
    auto const step = when.time_since_epoch() / history_step;
    if (step >= step_)
        return own_requests_;
    auto const oldest =
        std::max<std::int64_t>(0, step_ - std::int64_t{history_size});
    auto const at = std::max(step, oldest);
    return history_[static_cast<std::size_t>(at) % history_size];
}

} // namespace buckthornvale::decision::routing
