#include <buckthornvale/http/message.hpp>
#include <buckthornvale/http/text.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::http
{
namespace
{

// Guards against untrusted numbers of which only a prefix is parsed.
TEST(text, accepts_complete_numbers_only)
{
    EXPECT_EQ(parse_number(" 17 "), 17U);
    for (auto const it : {"", "-1", "1.5", "17x", "99999999999999999999"})
        EXPECT_FALSE(parse_number(it)) << it;
    EXPECT_EQ(parse_hex("ff"), 255U);
    EXPECT_EQ(parse_decimal("1.5"), 1.5);
    for (auto const it : {"", "nan", "inf", "1.5s"})
        EXPECT_FALSE(parse_decimal(it)) << it;
}

TEST(text, splits_and_trims)
{
    EXPECT_EQ(split("a,,b", ',').size(), 3U);
    EXPECT_EQ(split_once("a:b:c", ':').second, "b:c");
    EXPECT_EQ(trimmed(" a "), "a");
    EXPECT_TRUE(equals_ignoring_case("AbC", "aBc"));
    EXPECT_FALSE(equals_ignoring_case("abc", "abcd"));
}

// Guards against passing on an incomplete percent escape, and against reading a
// parameter from another parameter's value.
TEST(text, decodes_and_encodes_paths_and_queries)
{
    EXPECT_EQ(percent_decoded("a%2Fb%c3%a4"), "a/b\xc3\xa4");
    for (auto const it : {"%", "%2", "%2x", "%-1", "a% 1"})
        EXPECT_FALSE(percent_decoded(it)) << it;
    EXPECT_EQ(percent_encoded("a-b&c d"), "a-b%26c%20d");
    EXPECT_EQ(percent_decoded(percent_encoded("\xff%&=+")), "\xff%&=+");
    EXPECT_EQ(query_parameter("x=b=1&b=x+y%2B", "b"), "x y+");
    EXPECT_EQ(query_parameter("b", "b"), "");
    EXPECT_FALSE(query_parameter("ab=1", "b"));
}

// Guards against forwarding hop-by-hop headers to the next connection.
TEST(message, recognises_hop_by_hop_headers)
{
    header_list const headers = {{"Connection", "close, X-Hop"},
                                 {"X-Hop", "1"}};
    connection_headers const connection(headers);
    EXPECT_TRUE(connection.contains("x-hop"));
    EXPECT_TRUE(connection.contains("Transfer-Encoding"));
    EXPECT_FALSE(connection.contains("X-Other"));
}

TEST(message, reads_the_keep_alive_timeout)
{
    header_list const with_timeout = {header{"Keep-Alive", "timeout=5, max=9"}};
    EXPECT_EQ(keep_alive_seconds(with_timeout), 5U);
    header_list const without_timeout = {header{"Keep-Alive", "max=9"}};
    EXPECT_FALSE(keep_alive_seconds(without_timeout));
}

TEST(message, writes_chunks)
{
    std::string out;
    append_chunk(out, "0123456789abcdef");
    append_chunk(out, "");
    EXPECT_EQ(out, "10\r\n0123456789abcdef\r\n");
}

} // namespace
} // namespace buckthornvale::http
