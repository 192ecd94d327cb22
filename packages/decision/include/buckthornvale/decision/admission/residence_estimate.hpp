#ifndef BUCKTHORNVALE_DECISION_ADMISSION_RESIDENCE_ESTIMATE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_RESIDENCE_ESTIMATE_HPP

#include <buckthornvale/decision/core/time.hpp>

namespace buckthornvale::decision::admission
{

//! Measured time from dispatch to the end of a request, relative to the
//! expected time without queueing.
//!
//! Without new samples the estimate returns to the expected time: a rank that
//! is refused because of a high estimate produces no samples that could lower
//! it.
class residence_estimate
{
public:
    void add(duration expected, duration measured, time_point now);

    //! Time that most requests with this expectation need: the mean and
    //! `margin` mean absolute deviations.
    duration predict(duration expected, double deviations,
                     time_point now) const;

private:
    double confidence(time_point now) const;

    double ratio_ = 1.0;
    double deviation_ = 0.0;
    time_point updated_;
};

} // namespace buckthornvale::decision::admission

#endif
