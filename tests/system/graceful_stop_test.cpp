// Guards against a shutdown that cuts requests in flight (I6) or that stops
// accepting before the load balancer has seen it.
#include "support/await.hpp"
#include "support/booking_log.hpp"

#include <atomic>
#include <csignal>
#include <thread>

namespace buckthornvale::tests
{

TEST(graceful_stop, cuts_no_request_and_is_not_ready_first)
{
    fleet under_test(3);
    auto& stopped = under_test.vms[0];
    auto const address = stopped.http();
    std::atomic<bool> withdrawn{false};
    std::atomic<std::size_t> begun{0};
    booking_log bookings(under_test);
    std::thread stopper(
        [&]
        {
            await("load", [&] { return begun > 60; });
            stopped.program->signal(SIGTERM);
            int status = 200;
            await("readiness to end",
                  [&]
                  {
                      status = get(address, "/readyz").status;
                      return status != 200;
                  });
            withdrawn = true;
            EXPECT_EQ(status, 503);
        });
    generate_load(
        6, 240,
        [&](std::size_t i)
        {
            ++begun;
            auto n = i % 3;
            if (n == 0 && withdrawn)
                n = 1;
            for (auto again = true; again; n = 1)
            {
                again = false;
                auto const& through = under_test.vms[n];
                auto const what = make_booking("stop-" + std::to_string(i));
                if (i % 4 == 0)
                {
                    auto const told = send_streamed(
                        through.http(), "talk", {{"input", {{"tokens", 60}}}});
                    again = n == 0 && told.refused;
                    EXPECT_TRUE(again ||
                                told.end().value("outcome", "") == "completed");
                    continue;
                }
                auto const told =
                    i % 4 == 1 ? bookings.send(what, through)
                               : send_request(through.http(), "lookup",
                                              {{"input", {{"number", i}}}});
                again = n == 0 && told.refused;
                EXPECT_TRUE(again || told.outcome() == "completed")
                    << told.status << ' ' << told.body.dump();
            }
        });
    stopper.join();
    EXPECT_EQ(stopped.program->wait(), 0);
    bookings.check();
}

} // namespace buckthornvale::tests
