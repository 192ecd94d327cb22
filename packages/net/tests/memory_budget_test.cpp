#include <buckthornvale/net/memory_budget.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::net
{
namespace
{

// Guards against bytes that stay counted after their holder is gone, which
// would use the budget up for good.
TEST(memory_budget, gets_the_bytes_of_a_holder_back)
{
    auto const budget = std::make_shared<memory_budget>(100);
    {
        memory_budget::charge first(budget);
        first.resize(60);
        memory_budget::charge second(budget);
        second.resize(30);
        EXPECT_EQ(budget->held(), 90U);
        EXPECT_FALSE(budget->fits(11));
        first.resize(20);
        EXPECT_TRUE(budget->fits(50));
    }
    EXPECT_EQ(budget->held(), 0U);
}

// Guards against a wrap-around that lets everything fit once holders that did
// not ask have gone over the maximum.
TEST(memory_budget, has_nothing_left_above_its_maximum)
{
    auto const budget = std::make_shared<memory_budget>(100);
    memory_budget::charge holder(budget);
    holder.resize(150);
    EXPECT_FALSE(budget->fits(0));
    EXPECT_FALSE(budget->fits(memory_budget::unlimited));
}

// Guards against a holder that outlives the server whose budget it uses.
TEST(memory_budget, is_kept_by_its_holders)
{
    auto budget = std::make_shared<memory_budget>(100);
    memory_budget::charge holder(budget);
    holder.resize(1);
    budget.reset();
    holder.resize(2);
    EXPECT_EQ(holder.bytes(), 2U);
}

} // namespace
} // namespace buckthornvale::net
