#ifndef BUCKTHORNVALE_DECISION_ADMISSION_RESIDENCE_ESTIMATE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_RESIDENCE_ESTIMATE_HPP

#include <buckthornvale/decision/core/time.hpp>

namespace buckthornvale::decision::admission
{

//! Estimate of the time from dispatch to the end of a request, relative to the
//! expected time without queueing.
//!
//! Without new samples the estimate decays to the expected time. Otherwise a
//! rank that is refused because of a high estimate would produce no samples
//! that could lower it.
class residence_estimate
{
public:
    void add(duration expected, duration measured, time_point now);

    //! Time that most requests with this expected time need: the mean plus
    //! `deviations` mean absolute deviations.
    duration predict(duration expected, double deviations,
                     time_point now) const;

private:
    //! Weight of the samples at `now`; decays from 1 to 0 without new samples.
    double confidence(time_point now) const;

    double ratio_ = 1.0;
    double deviation_ = 0.0;
    time_point updated_;
};

} // namespace buckthornvale::decision::admission

#endif
