#include "../src/client_shares.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::gateway
{
namespace
{

// Guards against shares that are more than the VM has, beside the answers of
// runners (an eighth of the memory, up to twice) and the process itself.
TEST(client_shares, leave_room_for_answers_and_the_process)
{
    constexpr std::size_t mb = 1'048'576;
    for (std::size_t memory_mb : {40, 120, 260, 4096})
    {
        auto const memory = memory_mb * mb;
        auto const it = divide_among_clients(memory, 2875);
        auto const clients = it.callers.memory_bytes + it.peers.memory_bytes +
                             it.readiness.memory_bytes;
        EXPECT_LE(clients + memory / 4 + 12 * mb, memory);
        auto const connections = it.callers.connections + it.peers.connections +
                                 it.readiness.connections;
        // Each request in progress needs another one, to a runner.
        EXPECT_LE(connections + it.callers.connections, 2875U);
    }
}

// Guards against a request of the largest size that is refused in calm, on a
// small VM with the default limits.
TEST(client_shares, hold_several_of_the_largest_bodies)
{
    constexpr std::size_t largest_body = 4'194'304;
    auto const it = divide_among_clients(125'829'120, 2875);
    EXPECT_GE(it.callers.memory_bytes, 4 * 2 * largest_body);
}

} // namespace
} // namespace buckthornvale::gateway
