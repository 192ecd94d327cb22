#include <buckthornvale/decision/routing/speed_estimate.hpp>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

//! Factor of the sums at each completion: about ten completions count.
constexpr double decay_factor = 0.9;
//! The prior counts as this many completions at first and fades to nothing.
constexpr double prior_weight = 2.0;
constexpr double prior_fade_weight = 5.0;
//! Bounds of a speed, so that a single wrong prediction has no lasting effect.
constexpr double min_speed = 0.01;
constexpr double max_speed = 100.;
//! Minimum weight of one completion in the long-term speed.
constexpr double long_term_step = 0.01;
constexpr double min_seconds = 1e-6;

double clamp_speed(double speed)
{
    return std::clamp(speed, min_speed, max_speed);
}

} // namespace

void speed_estimate::record_completion(double work, double elapsed)
{
    work_ = work_ * decay_factor + std::max(work, min_seconds);
    elapsed_ = elapsed_ * decay_factor + std::max(elapsed, min_seconds);
    weight_ = weight_ * decay_factor + 1.;
}

void speed_estimate::learn_long_term(double work, double elapsed)
{
    double const speed = clamp_speed(std::max(work, min_seconds) /
                                     std::max(elapsed, min_seconds));
    ++long_term_samples_;
    double const step =
        std::max(long_term_step, 1. / double(long_term_samples_));
    long_term_speed_ += (speed - long_term_speed_) * step;
}

double speed_estimate::recent(double prior) const
{
    if (weight_ <= 0.)
        return prior;
    double const seconds = elapsed_ / weight_;
    double const weight =
        prior_weight * std::max(0., 1. - weight_ / prior_fade_weight);
    // The prior counts as completions with the mean elapsed time.
    double const work = work_ + weight * prior * seconds;
    return clamp_speed(work / (elapsed_ + weight * seconds));
}

double speed_estimate::long_term(double prior) const
{
    return long_term_samples_ == 0 ? prior : clamp_speed(long_term_speed_);
}

bool speed_estimate::is_slow(double work, double elapsed, double prior,
                             double factor, double margin) const
{
    return elapsed > factor * work / long_term(prior) + margin;
}

} // namespace buckthornvale::decision::routing
