#include <buckthornvale/http/message_parser.hpp>
#include <buckthornvale/platform/headers.hpp>

#include <string>
#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

namespace
{

//! Parses one request from a single buffer.
class parsed_request final : public http::message_sink
{
public:
    explicit parsed_request(std::string_view bytes)
        : parser_(http::message_type::request, http::parser_limits(), *this),
          consumed_(parser_.feed(bytes))
    {
    }

    void on_head() override {}
    void on_body(std::string_view bytes) override { body_.append(bytes); }
    void on_complete() override {}

    bool complete() const
    {
        return parser_.complete() && parser_.error() == http::parse_error::none;
    }
    http::request_head const& head() const { return parser_.request(); }
    std::string const& body() const { return body_; }
    std::size_t consumed() const { return consumed_; }

private:
    std::string body_;
    http::message_parser parser_;
    std::size_t consumed_;
};

} // namespace

bool fleet_request(std::string_view bytes)
{
    parsed_request const caller(bytes);
    if (!caller.complete())
        return false;
    auto const decoded = platform::decode_request(caller.head());
    if (decoded.problem != platform::request_problem::none)
        return false;
    platform::runner_headers headers;
    headers.expected_runner = "runner-1";
    headers.time_left = std::chrono::seconds(1);
    auto const forwarded = platform::encode_runner_request(
                               caller.head(), caller.body().size(), headers) +
                           caller.body();
    parsed_request const received(forwarded);
    require(received.complete() && received.consumed() == forwarded.size(),
            "a runner parses the forwarded bytes as exactly one request");
    require(received.head().method == caller.head().method &&
                received.head().target == caller.head().target &&
                received.body() == caller.body(),
            "method, target and body are forwarded unchanged");
    require(http::count_headers(received.head().headers, "Authorization") == 0,
            "the caller's Authorization header is not forwarded");
    return true;
}

} // namespace buckthornvale::fuzz
