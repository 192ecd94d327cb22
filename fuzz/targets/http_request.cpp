#include <buckthornvale/http/message_parser.hpp>

#include <algorithm>
#include <string>
#include <targets/input.hpp>
#include <targets/targets.hpp>

namespace buckthornvale::fuzz
{

namespace
{

constexpr http::parser_limits limits = {2048, 4096};

//! Parses the first request of a connection in chunks, like a server.
class request_reader final : public http::message_sink
{
public:
    request_reader(std::string_view bytes, std::size_t chunk_bytes)
        : parser_(http::message_type::request, limits, *this)
    {
        while (!bytes.empty() && !parser_.complete() &&
               parser_.error() == http::parse_error::none)
        {
            auto const n = parser_.feed(bytes.substr(0, chunk_bytes));
            require(n <= std::min(chunk_bytes, bytes.size()),
                    "the parser consumes at most the bytes it is given");
            consumed_ += n;
            bytes.remove_prefix(std::min(chunk_bytes, bytes.size()));
        }
    }

    void on_head() override {}
    void on_body(std::string_view bytes) override { body_.append(bytes); }
    void on_complete() override {}

    bool complete() const { return parser_.complete(); }
    bool failed() const { return parser_.error() != http::parse_error::none; }

    //! Joins the method, target, headers and body, which request handlers use.
    std::string to_text()
    {
        auto const& head = parser_.request();
        std::string joined = head.method + " " + head.target + "\n";
        for (auto const& it : head.headers)
            joined += it.name + ":" + it.value + "\n";
        return joined + "\n" + body_;
    }

    std::string const& body() const { return body_; }

private:
    http::message_parser parser_;
    std::size_t consumed_ = 0;
    std::string body_;
};

} // namespace

bool http_request(std::string_view bytes)
{
    request_reader unsplit(bytes, std::max<std::size_t>(bytes.size(), 1));
    request_reader split(bytes, 3);
    require(unsplit.complete() == split.complete() &&
                unsplit.failed() == split.failed(),
            "acceptance does not depend on how the bytes are split");
    if (!unsplit.complete())
        return false;
    require(unsplit.to_text() == split.to_text(),
            "a parsed request does not depend on how the bytes are split");
    require(unsplit.body().size() <= limits.max_body_bytes,
            "a body is at most max_body_bytes long");
    return true;
}

} // namespace buckthornvale::fuzz
