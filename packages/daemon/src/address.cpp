#include <buckthornvale/daemon/address.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/numbers.h>
#include <asio/ip/address.hpp>

namespace buckthornvale::daemon
{

std::optional<tcp_address> parse_address(std::string_view text)
{
    constexpr std::uint32_t max_port = 65535;
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::uint32_t port = 0;
    auto const digits = text.substr(colon + 1);
    if (!absl::SimpleAtoi(decision::as_absl(digits), &port) || port == 0 ||
        port > max_port)
    {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    asio::error_code ec;
    asio::ip::make_address(host, ec);
    if (ec)
        return std::nullopt;
    return tcp_address{std::move(host), static_cast<std::uint16_t>(port)};
}

} // namespace buckthornvale::daemon
