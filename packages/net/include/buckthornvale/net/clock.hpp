#ifndef BUCKTHORNVALE_NET_CLOCK_HPP
#define BUCKTHORNVALE_NET_CLOCK_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <functional>

namespace buckthornvale::net
{

using decision::duration;
using decision::time_point;

//! Gives the present time to the event loop.
using clock_function = std::function<time_point()>;

//! Present time of the steady clock.
time_point steady_now();

} // namespace buckthornvale::net

#endif
