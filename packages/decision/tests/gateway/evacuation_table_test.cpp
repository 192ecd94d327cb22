#include <buckthornvale/decision/gateway/evacuation_table.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};
constexpr duration hold_time = 8s;

TEST(evacuation_table, tells_what_a_list_changes)
{
    evacuation_table table;
    table.assign({"north", "south"}, start);
    auto const changes = table.assign({"south", "west"}, start + 2s);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].failure_domain, "west");
    EXPECT_TRUE(changes[0].started);
    EXPECT_EQ(changes[1].failure_domain, "north");
    EXPECT_FALSE(changes[1].started);
    EXPECT_EQ(changes[1].held_for, 2s);
    EXPECT_FALSE(table.contains("north"));
    EXPECT_TRUE(table.contains("west"));
}

// The store may have come back from a copy that was made before the
// evacuation. The domain must not be used before the operator can write it
// anew.
TEST(evacuation_table, holds_what_a_copy_lacks)
{
    evacuation_table table;
    table.start("north", start);
    table.assign_restored({}, start + hold_time, start + 1s);
    table.assign({}, start + 2s);
    EXPECT_TRUE(table.contains("north"));
    EXPECT_TRUE(table.expire(start + hold_time - 1ms).empty());
    EXPECT_EQ(table.expire(start + hold_time).size(), 1U);
    EXPECT_FALSE(table.contains("north"));
}

TEST(evacuation_table, keeps_what_is_written_anew_after_a_copy)
{
    evacuation_table table;
    table.start("north", start);
    table.assign_restored({}, start + hold_time, start + 1s);
    EXPECT_FALSE(table.start("north", start + 2s));
    EXPECT_TRUE(table.expire(start + 1h).empty());
    EXPECT_TRUE(table.contains("north"));
}

// A copy may also show an evacuation that was taken back since. It holds until
// it is taken back again: too little is sent then, never too much.
TEST(evacuation_table, takes_up_what_a_copy_shows)
{
    evacuation_table table;
    table.start("north", start);
    table.end("north", start + 1s);
    EXPECT_EQ(table.assign_restored({"north"}, start + 9s, start + 2s).size(),
              1U);
    EXPECT_TRUE(table.expire(start + 1h).empty());
    EXPECT_TRUE(table.end("north", start + 1h));
    EXPECT_FALSE(table.end("north", start + 1h));
}

} // namespace
} // namespace buckthornvale::decision::gateway
