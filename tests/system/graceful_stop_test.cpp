// Guards against a shutdown that aborts requests in flight (invariant I6) or
// that closes the listening socket before the load balancer has seen /readyz
// fail.
#include "support/await.hpp"
#include "support/booking_checker.hpp"

#include <atomic>
#include <csignal>
#include <thread>

namespace buckthornvale::tests
{

TEST(graceful_stop, cuts_no_request_and_is_not_ready_first)
{
    fleet under_test(3);
    auto& stopped = under_test.vms[0];
    auto const address = stopped.http_address();
    std::atomic<bool> is_not_ready{false};
    std::atomic<std::size_t> started_requests{0};
    booking_checker bookings(under_test);
    std::thread stop_thread(
        [&]
        {
            await("60 requests to start",
                  [&] { return started_requests > 60; });
            stopped.program->signal(SIGTERM);
            int status = 200;
            await("/readyz to fail",
                  [&]
                  {
                      status = get(address, "/readyz").status;
                      return status != 200;
                  });
            is_not_ready = true;
            EXPECT_EQ(status, 503);
        });
    run_concurrently(
        6, 240,
        [&](std::size_t i)
        {
            ++started_requests;
            auto n = i % 3;
            if (n == 0 && is_not_ready)
                n = 1;
            for (auto retry = true; retry; n = 1)
            {
                retry = false;
                auto const& entry_vm = under_test.vms[n];
                auto const request = make_booking("stop-" + std::to_string(i));
                if (i % 4 == 0)
                {
                    auto const response =
                        send_streaming_request(entry_vm.http_address(), "talk",
                                               {{"input", {{"tokens", 60}}}});
                    retry = n == 0 && response.connect_failed;
                    EXPECT_TRUE(retry || response.end_event().value(
                                             "outcome", "") == "completed");
                    continue;
                }
                auto const response =
                    i % 4 == 1 ? bookings.send(request, entry_vm)
                               : send_request(entry_vm.http_address(), "lookup",
                                              {{"input", {{"number", i}}}});
                retry = n == 0 && response.connect_failed;
                EXPECT_TRUE(retry || response.outcome() == "completed")
                    << response.status << ' ' << response.body.dump();
            }
        });
    stop_thread.join();
    EXPECT_EQ(stopped.program->wait(), 0);
    bookings.check_invariants();
}

} // namespace buckthornvale::tests
