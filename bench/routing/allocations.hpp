#ifndef BUCKTHORNVALE_BENCH_ROUTING_ALLOCATIONS_HPP
#define BUCKTHORNVALE_BENCH_ROUTING_ALLOCATIONS_HPP

#include <cstdint>

namespace buckthornvale::bench
{

//! Calls of operator new in this program so far.
std::uint64_t allocations();

} // namespace buckthornvale::bench

#endif
