#include <buckthornvale/gateway/sse_splitter.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::gateway
{
namespace
{

// Guards against a partial event in front of the events of the runner that
// resumes the stream.
TEST(sse_splitter, returns_complete_events_only)
{
    sse_splitter it;
    EXPECT_EQ(it.feed("id: 1\ndata: a\n"), "");
    EXPECT_EQ(it.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(it.last_event_id(), "1");
    EXPECT_EQ(it.incomplete_event(), "id: 2\nda");
    EXPECT_EQ(it.feed("ta: b\n\nid: 3\n\n"), "id: 2\ndata: b\n\nid: 3\n\n");
    EXPECT_EQ(it.last_event_id(), "3");
    EXPECT_EQ(it.incomplete_event(), "");
}

TEST(sse_splitter, preserves_all_bytes)
{
    std::string const text = "x-versions: 3\nid:1\r\ndata: a\r\n\r\n"
                             "id: 2\ndata: b\n\ntail";
    for (std::size_t step = 1; step < text.size(); ++step)
    {
        sse_splitter it;
        std::string output;
        for (std::size_t at = 0; at < text.size(); at += step)
            output += it.feed(std::string_view(text).substr(at, step));
        output += it.incomplete_event();
        EXPECT_EQ(output, text) << step;
        EXPECT_EQ(it.last_event_id(), "2") << step;
    }
}

TEST(sse_splitter, is_inside_an_event_after_its_first_byte)
{
    for (auto const* text : {"d", "data: a", "data: a\n", "data: a\r\n",
                             ": note\ndata: a\n", "\nid: 2\n", ": no"})
    {
        sse_splitter it;
        it.feed(std::string("id: 1\ndata: a\n\n") + text);
        EXPECT_TRUE(it.inside_event()) << text;
    }
    for (auto const* text : {"", "\n", "\r", "\r\n", ": note\n", ": note\r\n"})
    {
        sse_splitter it;
        it.feed(std::string("id: 1\ndata: a\n\n") + text);
        EXPECT_FALSE(it.inside_event()) << text;
    }
}

// Guards against a comparison of ids as text, for which 10 comes before 9.
TEST(sse_splitter, recognises_events_that_were_sent_before)
{
    EXPECT_TRUE(is_repeated_event("1", "1"));
    EXPECT_TRUE(is_repeated_event("9", "10"));
    EXPECT_FALSE(is_repeated_event("10", "9"));
    EXPECT_FALSE(is_repeated_event("1", ""));
    EXPECT_FALSE(is_repeated_event("", "1"));
    EXPECT_TRUE(is_repeated_event("a", "a"));
    EXPECT_FALSE(is_repeated_event("b", "a"));
}

// Guards against an id that ends the header with which a stream is resumed. A
// carriage return ends a line of an event, too; an id with NUL is none.
TEST(sse_splitter, ends_an_id_at_each_kind_of_line_break)
{
    sse_splitter it;
    it.feed("id: 5\rX-Hold: 1\ndata: a\n\n");
    EXPECT_EQ(it.last_event_id(), "5");
    EXPECT_EQ(it.first_event_id(), "5");
    it.feed(std::string("id: 6\0b\ndata: a\n\n", 17));
    EXPECT_EQ(it.last_event_id(), "5");
}

} // namespace
} // namespace buckthornvale::gateway
