#ifndef BUCKTHORNVALE_GATEWAY_CLIENT_SHARES_HPP
#define BUCKTHORNVALE_GATEWAY_CLIENT_SHARES_HPP

#include <cstddef>

namespace buckthornvale::gateway
{

//! What the clients of one server of the process may take together.
struct client_share
{
    std::size_t memory_bytes = 0;
    std::size_t connections = 0;
};

//! The shares of all servers. A crowd at one of them takes nothing of the
//! others.
struct client_shares
{
    client_share callers;
    client_share readiness;
    client_share peers;
};

//! Divides the memory of the VM and the sockets of the process. What is left is
//! for the process itself, answers of runners, and connections that it opens.
client_shares divide_among_clients(std::size_t memory_bytes,
                                   std::size_t max_sockets);

} // namespace buckthornvale::gateway

#endif
