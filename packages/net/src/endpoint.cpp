#include <buckthornvale/http/text.hpp>
#include <buckthornvale/net/endpoint.hpp>

#include <asio/ip/address.hpp>

#include <limits>

namespace buckthornvale::net
{

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    constexpr std::uint64_t max_port =
        std::numeric_limits<std::uint16_t>::max();
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto const port = http::parse_number(text.substr(colon + 1));
    if (!port || *port == 0 || *port > max_port)
        return std::nullopt;
    asio::error_code ec;
    auto const ip =
        asio::ip::make_address(std::string(text.substr(0, colon)), ec);
    if (ec)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(*port));
}

std::string endpoint_text(std::string_view ip, std::uint16_t port)
{
    return http::concat({ip, ":", std::to_string(port)});
}

} // namespace buckthornvale::net
