#include <buckthornvale/decision/gateway/suspect_table.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

crash_verdict verdict_against(std::uint64_t part)
{
    return {{suspect_kind::prompt_part, 1, part}, 2s, 1s};
}

TEST(suspect_table, blocks_what_was_not_answered_since_the_first_crash)
{
    suspect_table table;
    auto const verdict = verdict_against(1);
    EXPECT_FALSE(table.accuse(verdict, start));
    EXPECT_FALSE(table.is_blocked(verdict.suspect));
    EXPECT_FALSE(table.block(verdict, start));
    EXPECT_TRUE(table.is_blocked(verdict.suspect));
    EXPECT_TRUE(table.find_blocked({verdict.suspect}).has_value());
    EXPECT_EQ(table.verdicts(start).size(), 1U);
}

// Guards against a verdict of a VM that did not know of answered runs.
TEST(suspect_table, does_not_block_what_this_vm_knows_to_be_sound)
{
    suspect_table table;
    auto const verdict = verdict_against(1);
    table.record_answered({verdict.suspect}, start - 1s);
    EXPECT_TRUE(table.accuse(verdict, start));
    EXPECT_TRUE(table.block(verdict, start));
    EXPECT_FALSE(table.is_blocked(verdict.suspect));
}

// A part may be sound first and deadly later.
TEST(suspect_table, blocks_what_was_answered_before_the_first_crash)
{
    suspect_table table;
    auto const verdict = verdict_against(1);
    table.record_answered({verdict.suspect}, start - 3s);
    EXPECT_FALSE(table.block(verdict, start));
    EXPECT_TRUE(table.is_blocked(verdict.suspect));
}

TEST(suspect_table, clears_a_suspect_whose_run_is_answered)
{
    suspect_table table;
    table.block(verdict_against(1), start);
    table.accuse(verdict_against(2), start);
    auto const cleared = table.record_answered({verdict_against(1).suspect,
                                                verdict_against(2).suspect,
                                                verdict_against(3).suspect},
                                               start);
    EXPECT_EQ(cleared.size(), 2U);
    EXPECT_TRUE(table.blocked().empty());
}

TEST(suspect_table, forgets_suspects_and_is_bounded)
{
    suspect_table table;
    for (std::uint64_t n = 0; n < 2 * suspect_table::max_entries; ++n)
        table.block(verdict_against(n), start);
    EXPECT_EQ(table.blocked().size(), suspect_table::max_entries);
    table.expire(start + suspect_table::entry_lifetime);
    EXPECT_TRUE(table.blocked().empty());
}

// Guards against accusations that leave no room for a verdict.
TEST(suspect_table, prefers_verdicts_to_accusations_when_full)
{
    suspect_table table;
    for (std::uint64_t n = 0; n < 2 * suspect_table::max_entries; ++n)
        table.accuse(verdict_against(n), start);
    auto const verdict = verdict_against(10 * suspect_table::max_entries);
    table.block(verdict, start);
    EXPECT_TRUE(table.is_blocked(verdict.suspect));
}

// Verdicts go round between VMs, which must not prolong them.
TEST(suspect_table, does_not_prolong_a_repeated_verdict)
{
    suspect_table table;
    table.block(verdict_against(1), start);
    auto repeated = table.verdicts(start + 10s).at(0);
    EXPECT_EQ(repeated.last_crash_age, 11s);
    table.block(repeated, start + 10s);
    EXPECT_EQ(table.verdicts(start + 10s).at(0).last_crash_age, 11s);
}

} // namespace
} // namespace buckthornvale::decision::gateway
