#include <buckthornvale/decision/core/error.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision
{
namespace
{

// An error kind without a table entry would give callers the message of another
// error.
TEST(error_table, lists_every_kind_at_its_own_position)
{
    auto const table = all_error_traits();
    ASSERT_EQ(table.size(),
              static_cast<std::size_t>(error_kind::caller_gone) + 1);
    for (std::size_t i = 0; i < table.size(); ++i)
        EXPECT_EQ(static_cast<std::size_t>(table[i].kind), i);
}

// Every error has to tell the caller what to do next.
TEST(error_table, names_a_remedy_for_every_error)
{
    for (auto const& it : all_error_traits().subspan(1))
        EXPECT_FALSE(it.remedy.empty()) << it.name;
}

// Runners echo identifiers as text; parsing has to restore the same value.
TEST(counted_id, survives_its_text_form)
{
    attempt_id const id{0x1234abcdULL, 77};
    attempt_id parsed;
    ASSERT_TRUE(
        parse_counted_id(to_text(id), parsed.incarnation, parsed.counter));
    EXPECT_EQ(parsed, id);
    EXPECT_FALSE(parse_counted_id("77", parsed.incarnation, parsed.counter));
}

TEST(rank, is_parsed_from_its_own_name)
{
    for (auto it : all_ranks)
        EXPECT_EQ(parse_rank(name_of(it)), it);
    EXPECT_EQ(parse_rank("highest"), std::nullopt);
}

} // namespace
} // namespace buckthornvale::decision
