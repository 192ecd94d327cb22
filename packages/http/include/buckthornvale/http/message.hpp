#ifndef BUCKTHORNVALE_HTTP_MESSAGE_HPP
#define BUCKTHORNVALE_HTTP_MESSAGE_HPP

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! HTTP/1.1 messages without input and output.
namespace buckthornvale::http
{

constexpr int status_ok = 200;

struct header
{
    std::string name; //!< compared without regard to case
    std::string value;
};

using header_list = std::vector<header>;
using header_view = absl::Span<header const>;

//! Request line and headers of a request.
struct request_head
{
    std::string method;
    std::string target; //!< path and query as sent
    header_list headers;
    bool keep_alive = true;
    bool http_1_0 = false;
    bool has_body = false;

    std::string_view path() const;
};

//! Status line and headers of an answer.
struct response_head
{
    int status = 0;
    header_list headers;
    bool keep_alive = true;
    bool body_ends_at_close = false; //!< neither a length nor chunks
};

//! Value of the first header of the name; empty without one.
std::optional<std::string_view> find_header(header_view headers,
                                            std::string_view name);

//! Number of headers of the name.
std::size_t count_headers(header_view headers, std::string_view name);

//! True for headers that concern one connection only, those named in
//! `Connection` included.
class connection_headers
{
public:
    explicit connection_headers(header_view headers);
    bool contains(std::string_view name) const;

private:
    std::vector<std::string> connection_tokens_;
};

//! Appends "name: value".
void append_header(std::string& out, std::string_view name,
                   std::string_view value);

//! Appends the status line of an answer.
void append_status_line(std::string& out, int status);

//! Appends the bytes as one chunk of a chunked body; nothing for no bytes.
void append_chunk(std::string& out, std::string_view bytes);

//! Ends a chunked body.
constexpr std::string_view last_chunk = "0\r\n\r\n";

//! Idle time that the sender of the headers states in `Keep-Alive`, in
//! seconds.
std::optional<std::uint64_t> keep_alive_seconds(header_view headers);

} // namespace buckthornvale::http

#endif
