#include <buckthornvale/decision/routing/load_estimate.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::routing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start{seconds(50)};

constexpr load_assumptions given(double mean_other_requests,
                                 double correlated_peers = 0.)
{
    return {mean_other_requests, seconds(2), correlated_peers};
}

// Guards against counting this VM's attempts twice: in the report and as sent.
TEST(load_estimate, corrects_a_late_report_by_what_was_sent_since)
{
    load_estimate load;
    load.sent(start);
    load.sent(start);
    for (int i = 0; i < 3; ++i)
        load.sent(start + milliseconds(400));
    // The figures are 300 ms old: two attempts of this VM and five of other
    // VMs.
    load.report({{}, milliseconds(300), 4., 3., 0., 1},
                start + milliseconds(500));
    EXPECT_DOUBLE_EQ(load.other_requests(), 5.);
    EXPECT_DOUBLE_EQ(load.total(start + milliseconds(500), given(0.)), 10.);
    load.finished(start + milliseconds(600));
    EXPECT_DOUBLE_EQ(load.total(start + milliseconds(600), given(0.)), 9.);
}

// Guards against a runner that reported idle once, stopped reporting, and
// attracts all attempts from then on.
TEST(load_estimate, lets_an_old_report_fade_to_the_mean)
{
    load_estimate load;
    load.report({{}, {}, 0., 0., 0., 1}, start);
    EXPECT_DOUBLE_EQ(load.total(start + seconds(2), given(8.)), 0.);
    EXPECT_DOUBLE_EQ(load.total(start + seconds(3), given(8.)), 4.);
    EXPECT_DOUBLE_EQ(load.total(start + seconds(60), given(8.)), 8.);
}

// Guards against VMs that see a runner idle and each send as if alone: what
// this VM sent since the report is assumed of the others as well.
TEST(load_estimate, assumes_that_peers_send_as_this_vm_does)
{
    load_estimate load;
    load.sent(start);
    load.report({{}, {}, 5., 0., 0., 1}, start);
    auto const now = start + milliseconds(200);
    load.sent(now);
    load.sent(now);
    EXPECT_DOUBLE_EQ(load.total(now, given(0., 3.)), 3. + 4. + 6.);
    for (int i = 0; i < 3; ++i)
        load.finished(now);
    EXPECT_DOUBLE_EQ(load.total(now, given(0., 3.)), 1.);
}

// Guards against reports that arrive out of order, and against dropping the
// reports of a restarted engine whose sequence starts again.
TEST(load_estimate, drops_an_out_of_order_report)
{
    load_estimate load;
    EXPECT_TRUE(load.report({{}, {}, 3., 0., 0., 8}, start));
    EXPECT_FALSE(load.report({{}, seconds(1), 9., 0., 0., 7}, start));
    EXPECT_DOUBLE_EQ(load.other_requests(), 3.);
    EXPECT_TRUE(load.report({{}, {}, 1., 0., 0., 1}, start + seconds(1)));
    EXPECT_DOUBLE_EQ(load.other_requests(), 1.);
}

} // namespace
} // namespace buckthornvale::decision::routing
