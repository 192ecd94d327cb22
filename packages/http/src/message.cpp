#include <buckthornvale/http/message.hpp>
#include <buckthornvale/http/text.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace buckthornvale::http
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {
    "connection",         "keep-alive", "proxy-connection",
    "proxy-authenticate", "te",         "trailer",
    "transfer-encoding",  "upgrade",    "expect"};

struct reason_phrase
{
    int status;
    std::string_view text;
};

constexpr std::array<reason_phrase, 20> reason_phrases = {{
    {100, "Continue"},
    {200, "OK"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

std::string_view reason_phrase_for(int status)
{
    for (auto const& it : reason_phrases)
        if (it.status == status)
            return it.text;
    return "Status";
}

} // namespace

std::string_view request_head::path() const
{
    std::string_view const view = target;
    return view.substr(0, view.find('?'));
}

std::size_t memory_of(header_list const& headers)
{
    auto out = headers.capacity() * sizeof(header);
    for (auto const& it : headers)
        out += it.name.capacity() + it.value.capacity();
    return out;
}

std::optional<std::string_view> find_header(header_view headers,
                                            std::string_view name)
{
    for (auto const& it : headers)
        if (equals_ignoring_case(it.name, name))
            return it.value;
    return std::nullopt;
}

std::size_t count_headers(header_view headers, std::string_view name)
{
    return std::count_if(headers.begin(), headers.end(),
                         [&](header const& it)
                         { return equals_ignoring_case(it.name, name); });
}

connection_headers::connection_headers(header_view headers)
{
    for (auto const& it : headers)
    {
        if (!equals_ignoring_case(it.name, "connection"))
            continue;
        for (auto const token : split(it.value, ','))
            connection_tokens_.emplace_back(trimmed(token));
    }
}

bool connection_headers::contains(std::string_view name) const
{
    auto const matches = [&](std::string_view it)
    { return equals_ignoring_case(it, name); };
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       matches) ||
           std::any_of(connection_tokens_.begin(), connection_tokens_.end(),
                       matches);
}

bool is_header_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char it)
                        { return it == '\r' || it == '\n' || it == '\0'; });
}

bool is_exact_header_value(std::string_view text)
{
    return is_header_value(text) && trimmed(text) == text;
}

bool append_header(std::string& out, std::string_view name,
                   std::string_view value)
{
    if (!is_header_value(name) || !is_header_value(value))
        return false;
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
    return true;
}

request_head_writer::request_head_writer(std::string_view method,
                                         std::string_view target)
    : head_(concat({method, " ", target, " HTTP/1.1\r\n"})),
      valid_(is_header_value(method) && is_header_value(target) &&
             target.find(' ') == std::string_view::npos)
{
}

void request_head_writer::add(std::string_view name, std::string_view value)
{
    valid_ = append_header(head_, name, value) && valid_;
}

std::string request_head_writer::finish()
{
    if (!valid_)
        return {};
    head_ += "\r\n";
    return std::move(head_);
}

void append_status_line(std::string& out, int status)
{
    out += "HTTP/1.1 " + std::to_string(status) + " ";
    out += reason_phrase_for(status);
    out += "\r\n";
}

void append_chunk(std::string& out, std::string_view bytes)
{
    if (bytes.empty())
        return;
    std::array<char, 20> size{};
    auto const end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    out.append(size.data(), end.ptr);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
}

std::optional<std::uint64_t> keep_alive_seconds(header_view headers)
{
    auto const value = find_header(headers, "keep-alive");
    if (!value)
        return std::nullopt;
    for (auto token : split(*value, ','))
    {
        token = trimmed(token);
        if (starts_ignoring_case(token, "timeout="))
            return parse_number(token.substr(token.find('=') + 1));
    }
    return std::nullopt;
}

} // namespace buckthornvale::http
