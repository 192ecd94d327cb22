#ifndef BUCKTHORNVALE_NET_ENDPOINT_HPP
#define BUCKTHORNVALE_NET_ENDPOINT_HPP

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::net
{

//! Parses "IP:PORT" with a port from 1 to 65535; nullopt for anything else,
//! including host names.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

//! Formats "IP:PORT".
std::string endpoint_text(std::string_view ip, std::uint16_t port);

} // namespace buckthornvale::net

#endif
