#ifndef BUCKTHORNVALE_NET_CLOCK_HPP
#define BUCKTHORNVALE_NET_CLOCK_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <functional>

namespace buckthornvale::net
{

using decision::duration;
using decision::time_point;

//! Source of the current time for the event loop.
using clock_function = std::function<time_point()>;

//! Current time of std::chrono::steady_clock.
time_point steady_now();

} // namespace buckthornvale::net

#endif
