#ifndef BUCKTHORNVALE_DAEMON_ADDRESS_HPP
#define BUCKTHORNVALE_DAEMON_ADDRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::daemon
{

//! IP number and port of a TCP endpoint.
struct tcp_address
{
    std::string host;
    std::uint16_t port = 0;
};

//! Parses `IP:port`; nothing when it is malformed.
std::optional<tcp_address> parse_address(std::string_view text);

} // namespace buckthornvale::daemon

#endif
