#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RETURN_DELAY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RETURN_DELAY_HPP

#include <buckthornvale/decision/core/time.hpp>

namespace buckthornvale::decision::gateway
{

//! A caller that is refused because the stages of its request have no room.
struct refused_caller
{
    duration time_left{};     //!< until its deadline
    duration expected_wait{}; //!< for room: until what waits now is processed
    double position = 0;      //!< among all refused callers, from 0 to 1
};

//! Time after which the caller should return. Callers that are refused in the
//! same overload are spread from the time at which room is expected over the
//! part of their time that they can wait; all of them returning together would
//! prolong the overload and be refused again.
duration return_delay(refused_caller const& caller);

} // namespace buckthornvale::decision::gateway

#endif
