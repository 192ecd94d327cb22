#include <buckthornvale/serving/upstream/event_parser.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace buckthornvale::serving::upstream
{
namespace
{

struct parser_row
{
    std::string name;
    std::string bytes;
    std::vector<std::string> events; //!< "name|data"
    bool accepted;
};

constexpr std::size_t bound = 32;

std::vector<parser_row> const rows = {
    {"one", "event: a\ndata: 1\n\n", {"a|1"}, true},
    {"carriage_returns", "event: a\r\ndata: 1\r\n\r\n", {"a|1"}, true},
    {"returns_only", "event: a\rdata: 1\r\r", {"a|1"}, true},
    {"no_blank", "event:a\ndata:1\n\n", {"a|1"}, true},
    {"two_lines", "data: 1\ndata: 2\n\n", {"|1\n2"}, true},
    {"comment_and_unknown", ": x\nid: 4\ndata: 1\n\n", {"|1"}, true},
    {"no_data", "event: a\n\ndata: 1\n\n", {"|1"}, true},
    {"two_events", "data: 1\n\ndata: 2\n\n", {"|1", "|2"}, true},
    {"unfinished", "data: 1\n", {}, true},
    {"long_line", std::string(bound + 1, 'x'), {}, false},
    {"long_event",
     "data: 1234567890\ndata: 1234567890\ndata: 1234567890\n\n",
     {},
     false},
};

class event_parser_test : public testing::TestWithParam<parser_row>
{
};

// Guards against events lost or joined where the network cut the bytes, and
// against a runner that fills the memory with one event.
TEST_P(event_parser_test, gives_the_same_events_for_any_cut)
{
    auto const& row = GetParam();
    for (std::size_t size = 1; size <= row.bytes.size(); ++size)
    {
        std::vector<std::string> seen;
        event_parser parser(bound,
                            [&](std::string_view name, std::string_view data)
                            {
                                seen.push_back(std::string(name) + "|" +
                                               std::string(data));
                                return true;
                            });
        bool accepted = true;
        for (std::size_t at = 0; accepted && at < row.bytes.size(); at += size)
            accepted = parser.feed(row.bytes.substr(at, size));
        EXPECT_EQ(seen, row.events) << "cut every " << size << " bytes";
        EXPECT_EQ(accepted, row.accepted);
    }
}

INSTANTIATE_TEST_SUITE_P(rows, event_parser_test, testing::ValuesIn(rows),
                         [](auto const& it) { return it.param.name; });

} // namespace
} // namespace buckthornvale::serving::upstream
