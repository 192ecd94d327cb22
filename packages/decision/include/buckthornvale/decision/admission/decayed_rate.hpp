#ifndef BUCKTHORNVALE_DECISION_ADMISSION_DECAYED_RATE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_DECAYED_RATE_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cmath>

namespace buckthornvale::decision::admission
{

//! Fraction of an amount that is left after exponential decay over `elapsed`.
inline double decay_factor(duration elapsed, duration time_constant)
{
    if (elapsed <= duration::zero())
        return 1.0;
    return std::exp(-to_seconds(elapsed) / to_seconds(time_constant));
}

//! Exponentially decayed average of the rate of events per second.
class decayed_rate
{
public:
    void add(double amount, duration time_constant, time_point now)
    {
        rate_ = at(time_constant, now) + amount / to_seconds(time_constant);
        updated_ = now;
    }

    double at(duration time_constant, time_point now) const
    {
        return rate_ * decay_factor(now - updated_, time_constant);
    }

private:
    double rate_ = 0.0;
    time_point updated_;
};

} // namespace buckthornvale::decision::admission

#endif
