#ifndef BUCKTHORNVALE_NET_ENDPOINT_HPP
#define BUCKTHORNVALE_NET_ENDPOINT_HPP

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::net
{

//! Reads "IP:PORT"; empty for anything else, a host name included.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

//! "IP:PORT".
std::string endpoint_text(std::string_view ip, std::uint16_t port);

} // namespace buckthornvale::net

#endif
