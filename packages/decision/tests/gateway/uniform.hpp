#ifndef BUCKTHORNVALE_DECISION_TESTS_GATEWAY_UNIFORM_HPP
#define BUCKTHORNVALE_DECISION_TESTS_GATEWAY_UNIFORM_HPP

#include <pcg_random.hpp>

namespace buckthornvale::decision::gateway
{

//! Returns a random number from 0 up to, but not including, 1.
inline double uniform(pcg32& random)
{
    constexpr double range = 4294967296.0; // 2^32
    return double(random()) / range;
}

} // namespace buckthornvale::decision::gateway

#endif
