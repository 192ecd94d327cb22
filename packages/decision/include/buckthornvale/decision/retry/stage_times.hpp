#ifndef BUCKTHORNVALE_DECISION_RETRY_STAGE_TIMES_HPP
#define BUCKTHORNVALE_DECISION_RETRY_STAGE_TIMES_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace buckthornvale::decision::retry
{

//! Histogram of one stage's run times from 0.1 ms to 1,000 s, with bins that
//! grow by 8%. All weights are halved after every 2,000 samples, so that recent
//! times dominate.
class stage_times
{
public:
    stage_times();

    void record(duration took);

    //! Upper edge of the bin that contains the quantile; empty when nothing was
    //! recorded.
    std::optional<duration> quantile(double probability) const;

    std::uint64_t sample_count() const { return sample_count_; }

private:
    using axis = boost::histogram::axis::regular<
        double, boost::histogram::axis::transform::log,
        boost::histogram::use_default,
        decltype(boost::histogram::axis::option::underflow |
                 boost::histogram::axis::option::overflow)>;
    using storage = boost::histogram::dense_storage<float>;

    boost::histogram::histogram<std::tuple<axis>, storage> histogram_;
    double total_weight_ = 0.;
    std::uint64_t sample_count_ = 0;
};

} // namespace buckthornvale::decision::retry

#endif
