#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/settings/schema/key.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <limits>

namespace buckthornvale::settings
{

namespace
{

constexpr std::size_t max_name_length = 128;
constexpr std::size_t sha256_hex_digits = 64;

bool is_name(std::string_view text)
{
    auto const allowed = [](unsigned char it)
    { return absl::ascii_isalnum(it) || it == '.' || it == '_' || it == '-'; };
    // Rejects a leading dot: "." and ".." in a path would change its meaning.
    return !text.empty() && text.size() <= max_name_length &&
           text.front() != '.' &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_ip_address(std::string_view text)
{
    std::string const terminated(text);
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(AF_INET, terminated.c_str(), buf.data()) == 1 ||
           inet_pton(AF_INET6, terminated.c_str(), buf.data()) == 1;
}

bool is_ip_port(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto host = text.substr(0, colon);
    bool const bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    bool const is_v6 = host.find(':') != std::string_view::npos;
    std::uint32_t port = 0;
    return is_v6 == bracketed && is_ip_address(host) &&
           absl::SimpleAtoi(decision::as_absl(text.substr(colon + 1)), &port) &&
           port > 0 && port <= std::numeric_limits<std::uint16_t>::max();
}

bool is_sha256(std::string_view text)
{
    auto const is_digit = [](unsigned char it)
    { return absl::ascii_isxdigit(it); };
    return text.size() == sha256_hex_digits &&
           std::all_of(text.begin(), text.end(), is_digit);
}

template <std::size_t Size>
bool is_one_of(std::string_view text,
               std::array<std::string_view, Size> const& allowed)
{
    return std::find(allowed.begin(), allowed.end(), text) != allowed.end();
}

} // namespace

std::string_view name_of(unit value)
{
    constexpr std::array<std::string_view, 9> names = {
        "",           "ms",      "s",        "bytes",   "requests",
        "requests/s", "loads/s", "attempts", "fraction"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view description_of(text_format format)
{
    constexpr std::array<std::string_view, 7> descriptions = {
        "any text",
        "1 to 128 letters, digits, `.`, `_`, `-`",
        "IP address in numbers",
        "IP address and port",
        "64 hexadecimal digits",
        "info, warning, error, off",
        "engine, service"};
    return descriptions[static_cast<std::size_t>(format)];
}

bool matches_format(std::string_view text, text_format format)
{
    switch (format)
    {
    case text_format::any:
        return true;
    case text_format::name:
        return is_name(text);
    case text_format::ip_address:
        return is_ip_address(text);
    case text_format::ip_port:
        return is_ip_port(text);
    case text_format::sha256:
        return is_sha256(text);
    case text_format::log_level:
        return is_one_of<4>(text, {"info", "warning", "error", "off"});
    case text_format::runner_kind:
        return is_one_of<2>(text, {"engine", "service"});
    }
    return false;
}

} // namespace buckthornvale::settings
