#ifndef BUCKTHORNVALE_HTTP_MESSAGE_PARSER_HPP
#define BUCKTHORNVALE_HTTP_MESSAGE_PARSER_HPP

#include <buckthornvale/http/message.hpp>

#include <cstddef>
#include <memory>
#include <string_view>

namespace buckthornvale::http
{

enum class message_type
{
    request,
    response
};

enum class parse_error
{
    none,
    malformed,
    header_too_large,
    body_too_large
};

struct parser_limits
{
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
};

//! Receives the parts of a message as they are parsed.
class message_sink
{
public:
    virtual ~message_sink() = default;

    //! The head is complete and available from `message_parser::request()` or
    //! `message_parser::response()`.
    virtual void on_head() = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_complete() = 0;
};

//! Incremental parser for the HTTP/1.1 messages of one connection. Rejects
//! ambiguous framing, which enables request smuggling: a message with both
//! Content-Length and chunked encoding, or with two Content-Length headers.
class message_parser
{
public:
    message_parser(message_type type, parser_limits limits, message_sink& sink);
    ~message_parser();
    message_parser(message_parser const&) = delete;
    message_parser& operator=(message_parser const&) = delete;

    //! Parses up to the end of the current message and returns the number of
    //! bytes consumed. After a complete message it consumes nothing until
    //! `next` is called.
    std::size_t feed(std::string_view bytes);

    //! Reports that the peer closed the connection, which completes a response
    //! without a length.
    void feed_eof();

    //! Resets the parser for the next message on the connection.
    void next();

    //! The next response has no body because it answers a HEAD request.
    void expect_no_body();

    void set_limits(parser_limits limits);

    parse_error error() const;
    bool complete() const; //!< a full message was parsed
    bool head_complete() const;
    bool started() const; //!< parsing of the message has begun

    //! Memory that the head of a request takes, complete or not.
    std::size_t held_bytes() const;
    request_head& request();
    request_head const& request() const;
    response_head& response();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace buckthornvale::http

#endif
