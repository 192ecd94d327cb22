#ifndef BUCKTHORNVALE_HTTP_MESSAGE_HPP
#define BUCKTHORNVALE_HTTP_MESSAGE_HPP

#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! HTTP/1.1 message types and helpers. They perform no I/O.
namespace buckthornvale::http
{

constexpr int status_ok = 200;

struct header
{
    std::string name; //!< case-insensitive
    std::string value;
};

using header_list = std::vector<header>;
using header_view = absl::Span<header const>;

//! Request line and headers of a request.
struct request_head
{
    std::string method;
    std::string target; //!< path and query, still percent-encoded
    header_list headers;
    bool keep_alive = true;
    bool http_1_0 = false;
    bool has_body = false;

    std::string_view path() const;
};

//! Status line and headers of a response.
struct response_head
{
    int status = 0;
    header_list headers;
    bool keep_alive = true;
    bool chunked = false;
    bool body_ends_at_close = false; //!< no Content-Length, not chunked
};

//! Memory that the headers take.
std::size_t memory_of(header_list const& headers);

//! Value of the first header with this name; nullopt when there is none.
std::optional<std::string_view> find_header(header_view headers,
                                            std::string_view name);

std::size_t count_headers(header_view headers, std::string_view name);

//! Recognises hop-by-hop headers: the well-known ones and those that the
//! `Connection` header lists.
class connection_headers
{
public:
    explicit connection_headers(header_view headers);
    bool contains(std::string_view name) const;

private:
    std::vector<std::string> connection_tokens_;
};

//! Whether a header can hold the text without ending its line early.
bool is_header_value(std::string_view text);

//! Same, and a reader of the header gets the text unchanged: readers drop
//! whitespace at both ends.
bool is_exact_header_value(std::string_view text);

//! Appends one header line and returns true. Appends nothing if the name or the
//! value would end the line early, since what follows would be read as another
//! header or as a message of its own.
bool append_header(std::string& out, std::string_view name,
                   std::string_view value);

//! Writes the head of a request.
class request_head_writer
{
public:
    request_head_writer(std::string_view method, std::string_view target);

    void add(std::string_view name, std::string_view value);

    //! The head with its empty line. Empty if the target or a header would have
    //! ended its line early; such a request must not be sent. To be called
    //! once.
    std::string finish();

private:
    std::string head_;
    bool valid_;
};

void append_status_line(std::string& out, int status);

//! Appends the bytes as one chunk of a chunked body. Appends nothing when
//! `bytes` is empty: a chunk of length 0 would end the body.
void append_chunk(std::string& out, std::string_view bytes);

//! Terminates a chunked body.
constexpr std::string_view last_chunk = "0\r\n\r\n";

//! Idle timeout in seconds that the sender announces in `Keep-Alive`.
std::optional<std::uint64_t> keep_alive_seconds(header_view headers);

} // namespace buckthornvale::http

#endif
