#include <buckthornvale/gateway/event_splitter.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::gateway
{
namespace
{

// Guards against half an event in front of the events of another runner.
TEST(event_splitter, passes_whole_events_only)
{
    event_splitter it;
    EXPECT_EQ(it.feed("id: 1\ndata: a\n"), "");
    EXPECT_EQ(it.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(it.last_id(), "1");
    EXPECT_EQ(it.rest(), "id: 2\nda");
    EXPECT_EQ(it.feed("ta: b\n\nid: 3\n\n"), "id: 2\ndata: b\n\nid: 3\n\n");
    EXPECT_EQ(it.last_id(), "3");
    EXPECT_EQ(it.rest(), "");
}

TEST(event_splitter, changes_no_byte)
{
    std::string const text = "x-versions: 3\nid:1\r\ndata: a\r\n\r\n"
                             "id: 2\ndata: b\n\ntail";
    for (std::size_t step = 1; step < text.size(); ++step)
    {
        event_splitter it;
        std::string passed;
        for (std::size_t at = 0; at < text.size(); at += step)
            passed += it.feed(std::string_view(text).substr(at, step));
        passed += it.rest();
        EXPECT_EQ(passed, text) << step;
        EXPECT_EQ(it.last_id(), "2") << step;
    }
}

} // namespace
} // namespace buckthornvale::gateway
