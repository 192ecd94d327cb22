#ifndef BUCKTHORNVALE_DECISION_GATEWAY_WAIT_PROFILE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_WAIT_PROFILE_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <array>
#include <cstddef>

namespace buckthornvale::decision::gateway
{

//! Waiting time in a queue in the order of due times, as a function of the time
//! until a piece is due. Urgent pieces wait only for pieces that are due before
//! them, so the length of the whole queue must not be a reason to refuse them.
class wait_profile
{
public:
    static constexpr std::size_t size = 6;

    //! Times until a piece is due for which the wait is known.
    static constexpr std::array<duration, size> due_times = {
        std::chrono::milliseconds(0),    std::chrono::milliseconds(250),
        std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
        std::chrono::milliseconds(2000), std::chrono::milliseconds(4000)};

    //! Wait of a piece that is due after this time, taken from the next larger
    //! known time.
    duration at(duration due_in) const;

    duration longest() const { return waits.back(); }

    std::array<duration, size> waits{}; //!< wait for each due time; ascending
};

} // namespace buckthornvale::decision::gateway

#endif
