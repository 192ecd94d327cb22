#include "client_shares.hpp"

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

//! Memory of a process that serves nobody.
constexpr std::size_t process_bytes = 25'165'824;

//! Part of the memory that the process leaves to its clients at least.
constexpr std::size_t min_part = 4;

} // namespace

client_shares divide_among_clients(std::size_t memory_bytes,
                                   std::size_t max_sockets)
{
    auto const left =
        memory_bytes > process_bytes ? memory_bytes - process_bytes : 0;
    auto const usable = std::max(left, memory_bytes / min_part);
    client_shares out;
    out.callers = {usable / 2, max_sockets / 8 * 3};
    out.peers = {usable / 8, max_sockets / 16 * 3};
    out.readiness = {usable / 32, std::max<std::size_t>(max_sockets / 32, 4)};
    return out;
}

} // namespace buckthornvale::gateway
