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

//! Takes the parts of a message as they are parsed.
class message_sink
{
public:
    virtual ~message_sink() = default;

    //! The head is complete; `parser.request()` or `parser.response()` has it.
    virtual void on_head() = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_complete() = 0;
};

//! Incremental parser of HTTP/1.1 messages on one connection. Framing that two
//! parsers could read differently is an error: a request with both a length
//! and chunks, or with two lengths.
class message_parser
{
public:
    message_parser(message_type type, parser_limits limits, message_sink& sink);
    ~message_parser();
    message_parser(message_parser const&) = delete;
    message_parser& operator=(message_parser const&) = delete;

    //! Parses up to the end of one message and returns the bytes taken. After
    //! a complete message, `next` has to be called before more is taken.
    std::size_t feed(std::string_view bytes);

    //! The peer ended the connection; completes an answer without a length.
    void feed_eof();

    //! Makes ready for the next message of the connection.
    void next();

    //! The answer expected has no body, because the request was a HEAD.
    void expect_no_body();

    void set_limits(parser_limits limits);

    parse_error error() const;
    bool complete() const; //!< a whole message was parsed
    bool head_complete() const;
    bool started() const; //!< bytes of the message were taken
    request_head& request();
    request_head const& request() const;
    response_head& response();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace buckthornvale::http

#endif
