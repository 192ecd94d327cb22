#ifndef BUCKTHORNVALE_DECISION_CORE_TIME_HPP
#define BUCKTHORNVALE_DECISION_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace buckthornvale::decision
{

//! Resolution of all decision times.
using duration = std::chrono::nanoseconds;

//! Clock without `now()`: decision code receives the current time as an
//! argument. Production code derives it from a monotonic clock, tests from a
//! counter.
struct decision_clock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = decision::duration;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

//! Monotonic time of one process; not comparable across processes.
using time_point = decision_clock::time_point;

//! UTC time in milliseconds since 1970, for values that outlive the process.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

//! Converts seconds to a duration, truncated to nanoseconds.
inline duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace buckthornvale::decision

#endif
