#include <buckthornvale/decision/admission/space_saving.hpp>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <map>

namespace buckthornvale::decision::admission
{
namespace
{

// Guards against heavy organisations that are lost among many light ones, and
// against counts that are too low: the limits rely on them as upper bounds.
TEST(space_saving, finds_the_heaviest_and_never_undercounts)
{
    space_saving sketch(64);
    pcg32 random(3);
    std::map<std::uint64_t, double> exact;
    for (int n = 0; n < 100000; ++n)
    {
        std::uint64_t const id = n % 4 == 0 ? n / 4 % 5 : 100 + random(48000);
        sketch.add(organisation_id{id}, 1.0);
        exact[id] += 1.0;
    }
    EXPECT_EQ(sketch.size(), 64U);
    auto const found = sketch.heaviest(5);
    ASSERT_EQ(found.size(), 5U);
    for (auto const& it : found)
    {
        EXPECT_LT(it.organisation.value, 5U);
        EXPECT_GE(it.count, exact[it.organisation.value]);
        EXPECT_LE(it.count, exact[it.organisation.value] + sketch.floor());
    }
}

// Guards against an order that changes when counts are scaled.
TEST(space_saving, keeps_its_order_when_scaled)
{
    space_saving sketch(8);
    for (std::uint64_t n = 1; n <= 8; ++n)
        sketch.add(organisation_id{n}, static_cast<double>(n));
    sketch.scale(0.5);
    EXPECT_EQ(sketch.heaviest(1).front().organisation.value, 8U);
    EXPECT_DOUBLE_EQ(sketch.heaviest(1).front().count, 4.0);
    EXPECT_DOUBLE_EQ(sketch.floor(), 0.5);
}

} // namespace
} // namespace buckthornvale::decision::admission
