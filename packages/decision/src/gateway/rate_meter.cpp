#include <buckthornvale/decision/gateway/rate_meter.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Time after which an event counts for 1/e of its weight.
constexpr double time_constant_s = 1;

} // namespace

void rate_meter::count(std::size_t events, time_point now)
{
    rate_ = rate(now) + double(events) / time_constant_s;
    updated_at_ = std::max(updated_at_, now);
}

double rate_meter::rate(time_point now) const
{
    double const age_s = std::max(0.0, to_seconds(now - updated_at_));
    return rate_ * std::exp(-age_s / time_constant_s);
}

} // namespace buckthornvale::decision::gateway
