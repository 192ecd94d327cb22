#ifndef BUCKTHORNVALE_NET_CONNECTION_CHOICE_HPP
#define BUCKTHORNVALE_NET_CONNECTION_CHOICE_HPP

#include <buckthornvale/net/clock.hpp>

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace buckthornvale::net
{

//! Memory of a connection, and the time since it last made progress.
struct connection_load
{
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    duration stalled_for{};
};

//! Chooses the connection to end so that others have room: the one with the
//! greatest product of its bytes and its time without progress. A client that
//! holds little or moves on is spared while others hold much and wait. Returns
//! nothing without connections.
std::optional<std::uint64_t>
choose_connection_to_end(absl::Span<connection_load const> loads);

} // namespace buckthornvale::net

#endif
