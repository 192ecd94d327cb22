#include <buckthornvale/decision/admission/decayed_rate.hpp>
#include <buckthornvale/decision/admission/residence_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::admission
{

namespace
{

//! Weight of one sample in the moving averages, which span about the last 30
//! requests.
constexpr double smoothing_factor = 1.0 / 32.0;

constexpr duration decay_time_constant = std::chrono::seconds(5);

} // namespace

void residence_estimate::add(duration expected, duration measured,
                             time_point now)
{
    if (expected <= duration::zero())
        return;
    auto const retained = confidence(now);
    ratio_ = 1.0 + retained * (ratio_ - 1.0);
    deviation_ *= retained;
    auto const error = to_seconds(measured) / to_seconds(expected) - ratio_;
    ratio_ += smoothing_factor * error;
    deviation_ += smoothing_factor * (std::abs(error) - deviation_);
    updated_ = now;
}

duration residence_estimate::predict(duration expected, double deviations,
                                     time_point now) const
{
    auto const retained = confidence(now);
    auto const factor =
        1.0 + retained * (ratio_ - 1.0 + deviations * deviation_);
    return from_seconds(to_seconds(expected) * std::max(factor, 0.1));
}

double residence_estimate::confidence(time_point now) const
{
    return decay_factor(now - updated_, decay_time_constant);
}

} // namespace buckthornvale::decision::admission
