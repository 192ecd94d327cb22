#include <buckthornvale/decision/routing/speed_estimate.hpp>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

//! Share kept of the sums at each completion: about ten completions count.
constexpr double kept_share = 0.9;
//! The prior counts as so many completions at first and fades to nothing.
constexpr double prior_weight = 2.0;
constexpr double prior_fades_at = 5.0;
//! Bounds of a speed, so that one wrong prediction cannot fix it for long.
constexpr double least_speed = 0.01;
constexpr double largest_speed = 100.;
//! Weight of one completion in the long-term speed after the first ones.
constexpr double baseline_step = 0.01;
constexpr double least_seconds = 1e-6;

double bounded(double speed)
{
    return std::clamp(speed, least_speed, largest_speed);
}

} // namespace

void speed_estimate::completed(double work, double elapsed)
{
    work_ = work_ * kept_share + std::max(work, least_seconds);
    elapsed_ = elapsed_ * kept_share + std::max(elapsed, least_seconds);
    weight_ = weight_ * kept_share + 1.;
}

void speed_estimate::confirm(double work, double elapsed)
{
    double const speed = bounded(std::max(work, least_seconds) /
                                 std::max(elapsed, least_seconds));
    ++confirmed_;
    double const step = std::max(baseline_step, 1. / double(confirmed_));
    baseline_ += (speed - baseline_) * step;
}

double speed_estimate::recent(double prior) const
{
    if (weight_ <= 0.)
        return prior;
    double const seconds = elapsed_ / weight_;
    double const weight =
        prior_weight * std::max(0., 1. - weight_ / prior_fades_at);
    // The prior counts as completions of the mean elapsed time.
    double const work = work_ + weight * prior * seconds;
    return bounded(work / (elapsed_ + weight * seconds));
}

double speed_estimate::long_term(double prior) const
{
    return confirmed_ == 0 ? prior : bounded(baseline_);
}

bool speed_estimate::is_slow(double work, double elapsed, double prior,
                             double factor, double margin) const
{
    return elapsed > factor * work / long_term(prior) + margin;
}

} // namespace buckthornvale::decision::routing
