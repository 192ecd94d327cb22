#include <buckthornvale/http/message_parser.hpp>

#include <gtest/gtest.h>

#include <string>

namespace buckthornvale::http
{
namespace
{

struct collecting_sink final : message_sink
{
    void on_head() override { ++head_count; }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_complete() override { ++complete_count; }

    int head_count = 0;
    int complete_count = 0;
    std::string body;
};

struct parsed_message
{
    explicit parsed_message(std::string_view bytes,
                            message_type type = message_type::request)
        : parser(type, {}, sink), bytes_consumed(parser.feed(bytes))
    {
    }

    collecting_sink sink;
    message_parser parser;
    std::size_t bytes_consumed;
};

// Guards against request smuggling: framing that two parsers could read
// differently would hide a second request in the body of the first.
TEST(message_parser, rejects_ambiguous_framing)
{
    constexpr std::string_view ambiguous[] = {
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 3\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3x\r\n\r\nabc",
    };
    for (auto const it : ambiguous)
        EXPECT_EQ(parsed_message(it).parser.error(), parse_error::malformed)
            << it;
}

// Guards against losing bytes of a pipelined request, or parsing them before
// the current request is handled.
TEST(message_parser, stops_at_the_end_of_one_message)
{
    std::string const first = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    parsed_message it(first + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(it.parser.complete());
    EXPECT_EQ(it.bytes_consumed, first.size());
    EXPECT_EQ(it.parser.request().target, "/a");
}

// Guards against a parser whose result depends on how the input is split.
TEST(message_parser, parses_byte_by_byte)
{
    std::string const text = "POST /a?b HTTP/1.1\r\nHost: h\r\nX-A:\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    collecting_sink sink;
    message_parser parser(message_type::request, {}, sink);
    for (char const it : text)
        parser.feed({&it, 1});
    EXPECT_TRUE(parser.complete());
    EXPECT_EQ(sink.body, "abcde");
    EXPECT_EQ(parser.request().path(), "/a");
    ASSERT_EQ(parser.request().headers.size(), 3U);
    EXPECT_EQ(parser.request().headers[1].value, "");
}

// Guards against clients that make a VM buffer more than its limits allow.
TEST(message_parser, reports_which_limit_is_exceeded)
{
    collecting_sink sink;
    message_parser head(message_type::request, {64, 10}, sink);
    head.feed("GET / HTTP/1.1\r\nHost: " + std::string(100, 'h'));
    EXPECT_EQ(head.error(), parse_error::header_too_large);
    message_parser complete_head(message_type::request, {64, 10}, sink);
    complete_head.feed("GET / HTTP/1.1\r\nHost: " + std::string(100, 'h') +
                       "\r\n\r\n");
    EXPECT_EQ(complete_head.error(), parse_error::header_too_large);
    message_parser declared_length(message_type::request, {64, 10}, sink);
    declared_length.feed(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    EXPECT_EQ(declared_length.error(), parse_error::body_too_large);
    message_parser chunks(message_type::request, {100, 10}, sink);
    chunks.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                "\r\nb\r\n12345678901\r\n");
    EXPECT_EQ(chunks.error(), parse_error::body_too_large);
}

// Guards against a rejected request that is still reported as complete when its
// head and body arrive together.
TEST(message_parser, completes_nothing_that_exceeds_the_limits)
{
    collecting_sink sink;
    message_parser parser(message_type::request, {2048, 4}, sink);
    parser.feed(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
    EXPECT_EQ(parser.error(), parse_error::body_too_large);
    EXPECT_FALSE(parser.complete());
    EXPECT_EQ(sink.complete_count, 0);
}

// Guards against a response cut off by a broken connection that is taken for a
// complete one. Only a response without a length ends with its connection.
TEST(message_parser, completes_a_response_without_length_at_eof)
{
    parsed_message it("HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc",
                      message_type::response);
    EXPECT_FALSE(it.parser.complete());
    EXPECT_TRUE(it.parser.response().body_ends_at_close);
    it.parser.feed_eof();
    EXPECT_TRUE(it.parser.complete());
    parsed_message truncated("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                             message_type::response);
    truncated.parser.feed_eof();
    EXPECT_FALSE(truncated.parser.complete());
    EXPECT_EQ(truncated.parser.error(), parse_error::malformed);
}

// Guards against a response of a server in trouble that is taken for an answer.
TEST(message_parser, rejects_an_invalid_status)
{
    for (std::string const status :
         {"000", "0", "099", "1000", "600", "999", "42", "-1", "abc", ""})
    {
        parsed_message it("HTTP/1.1 " + status + " Text\r\n\r\n",
                          message_type::response);
        EXPECT_EQ(it.parser.error(), parse_error::malformed) << status;
        EXPECT_EQ(it.sink.head_count, 0) << status;
    }
    for (auto const status : {100, 199, 200, 404, 599})
    {
        parsed_message it("HTTP/1.1 " + std::to_string(status) +
                              " Text\r\nContent-Length: 0\r\n\r\n",
                          message_type::response);
        EXPECT_EQ(it.parser.error(), parse_error::none) << status;
        EXPECT_EQ(it.parser.response().status, status);
    }
}

// Guards against header values that another parser could read as two headers.
TEST(message_parser, rejects_nul_in_header_values)
{
    std::string with_nul = "GET / HTTP/1.1\r\nHost: h\r\nX: a";
    with_nul += '\0';
    with_nul += "b\r\n\r\n";
    EXPECT_NE(parsed_message(with_nul).parser.error(), parse_error::none);
}

} // namespace
} // namespace buckthornvale::http
