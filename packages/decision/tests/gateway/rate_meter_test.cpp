#include <buckthornvale/decision/gateway/rate_meter.hpp>

#include <gtest/gtest.h>

#include <chrono>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

TEST(rate_meter, approaches_a_steady_rate)
{
    rate_meter it;
    for (int n = 0; n < 1000; ++n)
        it.count(1, start + 10ms * n);
    EXPECT_NEAR(it.rate(start + 10s), 100, 2);
}

// A flood that has ended must not keep less urgent requests out.
TEST(rate_meter, forgets_a_flood_within_seconds)
{
    rate_meter it;
    it.count(1000, start);
    EXPECT_LT(it.rate(start + 5s), 10);
}

} // namespace
} // namespace buckthornvale::decision::gateway
