#include <buckthornvale/net/connection_choice.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace buckthornvale::net
{
namespace
{

using namespace std::chrono_literals;

// Guards against ending connections although there are none.
TEST(connection_choice, has_none_without_connections)
{
    EXPECT_FALSE(choose_connection_to_end({}));
}

// Load: clients that stop just short of the end of large bodies, and an
// ordinary caller who has just connected.
TEST(connection_choice, spares_a_small_request_while_large_bodies_wait)
{
    std::vector<connection_load> loads = {{1, 12'000, 0ms}};
    for (std::uint64_t id = 2; id < 66; ++id)
        loads.push_back({id, 1'000'000, 0ms});
    while (loads.size() > 1)
    {
        auto const id = choose_connection_to_end(loads);
        ASSERT_TRUE(id);
        ASSERT_NE(*id, 1U);
        loads.erase(std::find_if(loads.begin(), loads.end(),
                                 [&](auto const& it) { return it.id == *id; }));
    }
}

// Load: a crowd of stopped bodies, and one large upload that proceeds. The
// upload holds more than any of the crowd.
TEST(connection_choice, spares_a_large_body_that_proceeds)
{
    std::vector<connection_load> const loads = {
        {1, 4'000'000, 0ms}, {2, 1'000'000, 5s}, {3, 1'000'000, 6s}};
    EXPECT_EQ(choose_connection_to_end(loads), 3U);
}

// Load: many connections that send nothing. The newest may be an ordinary
// caller, whose first request is on its way.
TEST(connection_choice, ends_the_longest_idle_of_equal_connections)
{
    std::vector<connection_load> const loads = {
        {1, 12'000, 3s}, {2, 12'000, 9s}, {3, 12'000, 0ms}};
    EXPECT_EQ(choose_connection_to_end(loads), 2U);
}

} // namespace
} // namespace buckthornvale::net
