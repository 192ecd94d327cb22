#ifndef BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_CLOCK_HPP
#define BUCKTHORNVALE_STANDINS_FLEET_PLATFORM_CLOCK_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <chrono>

namespace buckthornvale::standins::fleet_platform
{

//! Present time for servers of the stand-ins.
inline decision::time_point steady_now()
{
    return decision::time_point(std::chrono::duration_cast<decision::duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace buckthornvale::standins::fleet_platform

#endif
