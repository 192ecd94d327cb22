#ifndef BUCKTHORNVALE_DECISION_GATEWAY_WAIT_PROFILE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_WAIT_PROFILE_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <array>
#include <cstddef>

namespace buckthornvale::decision::gateway
{

//! Time until a piece gets its turn in a queue that serves what is due first.
//! Answers the load pattern "urgent and patient requests share a queue": what
//! is due soon waits only for what is due before it, and must not be refused
//! for the length of the whole queue.
class wait_profile
{
public:
    static constexpr std::size_t size = 6;

    //! Times left until a piece is due, from which on the waits are known.
    static constexpr std::array<duration, size> due_times = {
        std::chrono::milliseconds(0),    std::chrono::milliseconds(250),
        std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
        std::chrono::milliseconds(2000), std::chrono::milliseconds(4000)};

    //! Wait of a piece that is due in this time; the nearest later known time
    //! counts.
    duration at(duration due_in) const;

    duration longest() const { return waits.back(); }

    std::array<duration, size> waits{}; //!< of each of the times; rising
};

} // namespace buckthornvale::decision::gateway

#endif
