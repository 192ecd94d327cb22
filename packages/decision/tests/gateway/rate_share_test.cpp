#include <buckthornvale/decision/gateway/rate_share.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

//! What a runner allows in a window of four seconds, with the slack of the
//! allowed bound.
double allowed_in_window(double limit_per_s)
{
    return 1.5 * limit_per_s * 4 + 5;
}

// Each VM kept a part of the limit, and all of them used theirs at the same
// moment: few may share a small limit.
TEST(rate_share, of_all_vms_stays_below_the_limit_whenever_they_send)
{
    for (double const limit : {0.0, 0.05, 0.3, 1.0, 2.9, 7.5, 40.0, 1000.0})
        for (std::size_t const vms : {1U, 2U, 8U, 81U, 195U, 333U})
        {
            std::size_t most = 0;
            for (std::size_t n = 0; n < regular_senders(limit, vms); ++n)
                most += 1 + std::size_t(4s / send_interval(limit, {n, vms}));
            EXPECT_LE(double(most), allowed_in_window(limit))
                << limit << " a second, " << vms << " VMs";
        }
}

TEST(rate_share, of_all_vms_uses_the_limit)
{
    for (double const limit : {0.3, 1.0, 2.9, 40.0})
        for (std::size_t const vms : {1U, 8U, 195U})
        {
            double rate = 0;
            for (std::size_t n = 0; n < vms; ++n)
                rate += 1 / to_seconds(send_interval(limit, {n, vms}));
            EXPECT_GE(rate, limit * 0.999);
            EXPECT_LE(rate, limit * 1.126);
        }
}

// A limit that bounds each second must hold when all senders coincide, and
// leave the other VMs nothing, of which there may be many.
TEST(rate_share, of_all_vms_stays_below_the_bound_on_a_second)
{
    for (double const limit : {0.1, 1.0, 2.9, 8.0, 19.0, 100.0})
        for (std::size_t const vms : {1U, 2U, 8U, 25U, 34U, 68U, 195U})
        {
            double const bound = 1.5 * limit + 5;
            fleet_limit const strict(limit, bound);
            std::size_t most = 0;
            double rate = 0;
            for (std::size_t n = 0; n < vms; ++n)
            {
                auto const interval = send_interval(strict, {n, vms});
                if (interval == duration::max())
                    continue;
                most += 1 + std::size_t(1s / interval);
                rate += 1 / to_seconds(interval);
            }
            EXPECT_LE(double(most), bound) << limit << ", " << vms << " VMs";
            EXPECT_LE(rate, limit * 1.001) << limit << ", " << vms << " VMs";
            EXPECT_GE(rate, limit * 0.9) << limit << ", " << vms << " VMs";
        }
}

// A VM that has not read the list of VMs must not take the whole limit.
TEST(rate_share, is_nothing_while_the_number_of_vms_is_not_known)
{
    rate_share share;
    time_point const now{100s};
    share.set(2.9, {0, 0}, 0.5, now);
    EXPECT_EQ(share.sends_until(now + 1h, now), 0U);
    share.set(2.9, {0, 8}, 0.5, now);
    EXPECT_GT(share.sends_until(now + 1h, now), 0U);
}

// Each list of VMs gave a VM its first send anew.
TEST(rate_share, is_not_given_again_when_the_place_of_the_vm_changes)
{
    rate_share share;
    time_point now{100s};
    share.set(1, {0, 4}, 0, now);
    EXPECT_EQ(share.next_send(), now);
    share.count_send(now);
    auto const next = share.next_send();
    EXPECT_EQ(next, now + 4s);
    now += 100ms;
    share.set(1, {1, 4}, 0, now);
    EXPECT_EQ(share.next_send(), next);
    share.set(1, {1, 5}, 0, now);
    EXPECT_EQ(share.next_send(), next + 1s);
    share.set(1, {4, 5}, 0, now);
    EXPECT_EQ(share.next_send(), next + 1s);
    share.set(2, {4, 5}, 0, now);
    EXPECT_GE(share.next_send(), next - 4s + share.interval());
}

TEST(rate_share, allows_single_sends_an_interval_apart)
{
    rate_share share;
    time_point const now{100s};
    share.set(1, {0, 5}, 0, now);
    EXPECT_EQ(share.interval(), 5s);
    EXPECT_EQ(share.sends_until(now, now), 1U);
    EXPECT_EQ(share.sends_until(now + 10s, now), 3U);
    share.count_send(now);
    EXPECT_EQ(share.sends_until(now + 4999ms, now), 0U);
    EXPECT_EQ(share.sends_until(now + 5s, now), 1U);
}

} // namespace
} // namespace buckthornvale::decision::gateway
