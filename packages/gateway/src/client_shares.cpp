#include "client_shares.hpp"

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

//! Memory of a process that serves nobody.
constexpr std::size_t process_bytes = std::size_t{24} * 1024 * 1024;

//! Clients get a share of this part of the memory at least, on a small VM.
constexpr std::size_t min_usable_divisor = 4;

//! The platform's probe and a few readers of metrics.
constexpr std::size_t min_readiness_connections = 4;

} // namespace

client_shares divide_among_clients(std::size_t memory_bytes,
                                   std::size_t max_sockets)
{
    auto const left =
        memory_bytes > process_bytes ? memory_bytes - process_bytes : 0;
    auto const usable = std::max(left, memory_bytes / min_usable_divisor);
    client_shares out;
    // The rest of the memory is for answers of runners, the rest of the sockets
    // for connections to runners and to the store.
    out.callers = {usable / 2, max_sockets / 8 * 3};
    out.peers = {usable / 8, max_sockets / 16 * 3};
    out.readiness = {usable / 32,
                     std::max(max_sockets / 32, min_readiness_connections)};
    return out;
}

} // namespace buckthornvale::gateway
