#include <buckthornvale/http/text.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace buckthornvale::http
{

namespace
{

constexpr std::string_view whitespace = " \t\r\n";

char ascii_lower(char it)
{
    return it >= 'A' && it <= 'Z' ? char(it + 32) : it;
}

bool is_hex_digit(char it)
{
    return (it >= '0' && it <= '9') ||
           (ascii_lower(it) >= 'a' && ascii_lower(it) <= 'f');
}

bool is_unreserved(char it)
{
    constexpr std::string_view marks = "-._~";
    return (it >= '0' && it <= '9') ||
           (ascii_lower(it) >= 'a' && ascii_lower(it) <= 'z') ||
           marks.find(it) != std::string_view::npos;
}

std::optional<std::uint64_t> parse_integer(std::string_view text, int base)
{
    text = trimmed(text);
    std::uint64_t n = 0;
    auto const* end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, n, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return n;
}

} // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y)
                      { return ascii_lower(x) == ascii_lower(y); });
}

bool starts_ignoring_case(std::string_view text, std::string_view start)
{
    return equals_ignoring_case(text.substr(0, start.size()), start);
}

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::string lower_case(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), ascii_lower);
    return out;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> out;
    std::size_t start = 0;
    for (;;)
    {
        auto const end = text.find(separator, start);
        out.push_back(text.substr(start, end - start));
        if (end == std::string_view::npos)
            return out;
        start = end + 1;
    }
}

std::pair<std::string_view, std::string_view> split_once(std::string_view text,
                                                         char separator)
{
    auto const at = text.find(separator);
    if (at == std::string_view::npos)
        return {text, {}};
    return {text.substr(0, at), text.substr(at + 1)};
}

std::string concat(std::initializer_list<std::string_view> parts)
{
    std::string out;
    for (auto const it : parts)
        out += it;
    return out;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    return parse_integer(text, 10);
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    return parse_integer(text, 16);
}

std::optional<double> parse_decimal(std::string_view text)
{
    text = trimmed(text);
    double value = 0;
    auto const* end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end ||
        !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::optional<std::string> percent_decoded(std::string_view text)
{
    constexpr std::size_t digits = 2;
    std::string out;
    while (!text.empty())
    {
        if (text[0] != '%')
        {
            out += text[0];
            text.remove_prefix(1);
            continue;
        }
        auto const escape = text.substr(1, digits);
        bool const complete =
            escape.size() == digits &&
            std::all_of(escape.begin(), escape.end(), is_hex_digit);
        auto const value = complete ? parse_integer(escape, 16) : std::nullopt;
        if (!value)
            return std::nullopt;
        out += static_cast<char>(*value);
        text.remove_prefix(1 + digits);
    }
    return out;
}

std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (char const it : text)
    {
        auto const byte = static_cast<unsigned char>(it);
        if (is_unreserved(it))
            out += it;
        else
            out.append({'%', digits[byte >> 4U], digits[byte & 15U]});
    }
    return out;
}

std::optional<std::string> query_parameter(std::string_view query,
                                           std::string_view name)
{
    for (auto const it : split(query, '&'))
    {
        auto const parts = split_once(it, '=');
        if (percent_decoded(parts.first) != name)
            continue;
        std::string value(parts.second);
        std::replace(value.begin(), value.end(), '+', ' ');
        return percent_decoded(value);
    }
    return std::nullopt;
}

} // namespace buckthornvale::http
