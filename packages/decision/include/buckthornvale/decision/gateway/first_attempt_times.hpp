#ifndef BUCKTHORNVALE_DECISION_GATEWAY_FIRST_ATTEMPT_TIMES_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_FIRST_ATTEMPT_TIMES_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>

namespace buckthornvale::decision::gateway
{

//! Range of the times left that callers of one route state on their first
//! attempt. A request with less time left is a retry. Callers differ in
//! patience, so a time left within the range does not tell the two apart.
class first_attempt_times
{
public:
    //! Records the time left of a request that is known to be a first attempt.
    void record(duration time_left);

    //! Estimated time since the first attempt of a caller with this time left.
    //! Zero if the request can be a first attempt, or if nothing is known.
    duration time_since_first(duration time_left) const;

private:
    std::uint64_t count_ = 0;
    duration shortest_{};
    duration longest_{};
};

} // namespace buckthornvale::decision::gateway

#endif
