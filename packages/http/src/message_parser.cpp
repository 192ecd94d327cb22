#include <buckthornvale/http/message_parser.hpp>

#include <algorithm>
#include <cctype>
#include <http_parser.h>

namespace buckthornvale::http
{

namespace
{

//! Return values of http-parser's on_headers_complete callback.
constexpr int parse_body = 0;
constexpr int skip_body = 1;

//! Maximum number of headers in a response; more than this is reported as
//! header_too_large. Those of a request are bounded by their size alone.
constexpr std::size_t max_response_headers = 200;

//! Status codes outside of this range do not exist.
constexpr int min_status = 100;
constexpr int max_status = 599;

constexpr std::string_view token_punctuation = "!#$%&'*+-.^_`|~";

bool is_token(std::string_view name)
{
    return !name.empty() &&
           std::all_of(name.begin(), name.end(),
                       [](unsigned char it)
                       {
                           return std::isalnum(it) != 0 ||
                                  token_punctuation.find(char(it)) !=
                                      std::string_view::npos;
                       });
}

//! http-parser accepts some invalid names, and line breaks inside a value,
//! which another parser could read as two headers.
bool is_valid_header(header const& value)
{
    return is_token(value.name) && is_header_value(value.value);
}

} // namespace

struct message_parser::state
{
    message_type type;
    parser_limits limits;
    message_sink& sink;
    http_parser parser{};
    http_parser_settings callbacks{};
    request_head request;
    response_head response;
    parse_error error = parse_error::none;
    std::size_t head_bytes_fed = 0;
    std::size_t body_bytes = 0;
    bool in_header_value = false;
    bool head_complete = false;
    bool complete = false;
    bool started = false;
    bool expects_no_body = false;

    state(message_type parsed_type, parser_limits initial_limits,
          message_sink& receiver)
        : type(parsed_type), limits(initial_limits), sink(receiver)
    {
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser* it)
        {
            state_of(it).started = true;
            return 0;
        };
        callbacks.on_url = [](http_parser* it, char const* at, std::size_t n)
        {
            state_of(it).request.target.append(at, n);
            return 0;
        };
        callbacks.on_header_field = [](http_parser* it, char const* at,
                                       std::size_t n) {
            return state_of(it).append_header_name({at, n});
        };
        callbacks.on_header_value = [](http_parser* it, char const* at,
                                       std::size_t n) {
            return state_of(it).append_header_value({at, n});
        };
        callbacks.on_headers_complete = [](http_parser* it)
        { return state_of(it).finish_head(); };
        callbacks.on_body = [](http_parser* it, char const* at, std::size_t n) {
            return state_of(it).handle_body({at, n});
        };
        callbacks.on_message_complete = [](http_parser* it)
        { return state_of(it).finish_message(); };
        reset();
    }

    static state& state_of(http_parser* it)
    {
        return *static_cast<state*>(it->data);
    }

    void reset()
    {
        http_parser_init(&parser, type == message_type::request
                                      ? HTTP_REQUEST
                                      : HTTP_RESPONSE);
        parser.data = this;
        request = {};
        response = {};
        error = parse_error::none;
        head_bytes_fed = body_bytes = 0;
        in_header_value = head_complete = complete = started = expects_no_body =
            false;
    }

    header_list& headers()
    {
        return type == message_type::request ? request.headers
                                             : response.headers;
    }

    //! Ignores trailers, the headers that follow a chunked body.
    int append_header_name(std::string_view bytes)
    {
        if (head_complete)
            return 0;
        auto& list = headers();
        if (in_header_value || list.empty())
            list.emplace_back();
        in_header_value = false;
        list.back().name.append(bytes);
        bool const too_many = type == message_type::response &&
                              list.size() > max_response_headers;
        return too_many ? fail(parse_error::header_too_large) : 0;
    }

    int append_header_value(std::string_view bytes)
    {
        if (head_complete)
            return 0;
        in_header_value = true;
        headers().back().value.append(bytes);
        return 0;
    }

    //! Records the error and returns the value that makes http-parser stop.
    //! The value is -1 because on_headers_complete returns 1 for a message
    //! without a body, which http-parser would then complete.
    int fail(parse_error kind)
    {
        error = kind;
        return -1;
    }

    int finish_head()
    {
        head_complete = true;
        bool const chunked = (parser.flags & F_CHUNKED) != 0;
        bool const has_length = (parser.flags & F_CONTENTLENGTH) != 0;
        if (chunked && has_length)
            return fail(parse_error::malformed);
        auto const& list = headers();
        if (!std::all_of(list.begin(), list.end(), is_valid_header))
            return fail(parse_error::malformed);
        if (decoded_head_bytes() > limits.max_header_bytes)
            return fail(parse_error::header_too_large);
        if (type == message_type::request)
        {
            auto const method = static_cast<http_method>(parser.method);
            request.method = http_method_str(method);
            request.http_1_0 = parser.http_major == 1 && parser.http_minor == 0;
            request.keep_alive = http_should_keep_alive(&parser) != 0;
            request.has_body =
                chunked || (has_length && parser.content_length > 0);
            // Ignores a request to switch protocols and serves it as HTTP/1.1.
            if (method != HTTP_CONNECT)
                parser.upgrade = 0;
        }
        else
        {
            parser.upgrade = 0;
            response.status = static_cast<int>(parser.status_code);
            if (response.status < min_status || response.status > max_status)
                return fail(parse_error::malformed);
            response.keep_alive = http_should_keep_alive(&parser) != 0;
            response.chunked = chunked;
            response.body_ends_at_close = !expects_no_body && !chunked &&
                                          !has_length && status_allows_body();
        }
        if (has_length && parser.content_length > limits.max_body_bytes)
            return fail(parse_error::body_too_large);
        sink.on_head();
        return expects_no_body ? skip_body : parse_body;
    }

    //! Size of the parsed head. Counted here because the bytes fed so far may
    //! include part of the body.
    std::size_t decoded_head_bytes() const
    {
        constexpr std::size_t line_overhead = 4; // ": " and CRLF
        auto const& list =
            type == message_type::request ? request.headers : response.headers;
        std::size_t out = request.target.size();
        for (auto const& it : list)
            out += it.name.size() + it.value.size() + line_overhead;
        return out;
    }

    //! Responses with status 1xx, 204 or 304 never have a body.
    bool status_allows_body() const
    {
        return parser.status_code >= 200 && parser.status_code != 204 &&
               parser.status_code != 304;
    }

    int handle_body(std::string_view bytes)
    {
        body_bytes += bytes.size();
        if (body_bytes > limits.max_body_bytes)
            return fail(parse_error::body_too_large);
        sink.on_body(bytes);
        return 0;
    }

    int finish_message()
    {
        complete = true;
        http_parser_pause(&parser, 1);
        sink.on_complete();
        return 0;
    }
};

message_parser::message_parser(message_type type, parser_limits limits,
                               message_sink& sink)
    : state_(std::make_unique<state>(type, limits, sink))
{
}

message_parser::~message_parser() = default;

std::size_t message_parser::feed(std::string_view bytes)
{
    auto& it = *state_;
    if (it.complete || it.error != parse_error::none || bytes.empty())
        return 0;
    bool const was_in_head = !it.head_complete;
    std::size_t const n = http_parser_execute(&it.parser, &it.callbacks,
                                              bytes.data(), bytes.size());
    if (was_in_head)
    {
        it.head_bytes_fed += n;
        if (!it.head_complete && it.head_bytes_fed > it.limits.max_header_bytes)
            it.error = parse_error::header_too_large;
    }
    auto const parser_errno = HTTP_PARSER_ERRNO(&it.parser);
    if (parser_errno != HPE_OK && parser_errno != HPE_PAUSED &&
        it.error == parse_error::none)
        it.error = parser_errno == HPE_HEADER_OVERFLOW
                       ? parse_error::header_too_large
                       : parse_error::malformed;
    return n;
}

void message_parser::feed_eof()
{
    auto& it = *state_;
    if (it.complete || it.error != parse_error::none)
        return;
    http_parser_execute(&it.parser, &it.callbacks, nullptr, 0);
    if (!it.complete)
        it.error = parse_error::malformed;
}

void message_parser::next()
{
    state_->reset();
}

void message_parser::expect_no_body()
{
    state_->expects_no_body = true;
}

void message_parser::set_limits(parser_limits limits)
{
    state_->limits = limits;
}

parse_error message_parser::error() const
{
    return state_->error;
}

bool message_parser::complete() const
{
    return state_->complete;
}

bool message_parser::head_complete() const
{
    return state_->head_complete;
}

bool message_parser::started() const
{
    return state_->started;
}

std::size_t message_parser::held_bytes() const
{
    auto const& it = *state_;
    auto const& head = it.request;
    return sizeof(state) + head.target.capacity() + memory_of(head.headers);
}

request_head& message_parser::request()
{
    return state_->request;
}

request_head const& message_parser::request() const
{
    return state_->request;
}

response_head& message_parser::response()
{
    return state_->response;
}

} // namespace buckthornvale::http
