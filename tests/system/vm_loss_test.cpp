// Guards against bookings that are executed twice, that are lost without an
// outcome, or that are reported as not_run although they were executed, when
// entry VMs are killed or paused (invariants I1, I3 and I4).
#include "support/await.hpp"
#include "support/booking_checker.hpp"

#include <atomic>
#include <csignal>

namespace buckthornvale::tests
{

class killed_vms : public testing::TestWithParam<std::size_t>
{
};

TEST_P(killed_vms, leave_each_booking_settled_or_unknown)
{
    fleet under_test(4);
    booking_checker bookings(under_test);
    auto const killed = GetParam();
    run_concurrently(8, 200,
                     [&](std::size_t i)
                     {
                         if (i >= 80 && i < 80 + killed)
                             under_test.vms[i - 80].program->signal(SIGKILL);
                         auto const key = "kill-" + std::to_string(i);
                         bookings.send(make_booking(key),
                                       under_test.vms[i % 4]);
                     });
    for (std::size_t n = 0; n < killed; ++n)
        EXPECT_EQ(under_test.vms[n].program->wait(), -SIGKILL);
    bookings.await_final_outcomes();
    bookings.check_invariants();
    EXPECT_EQ(bookings.count_with_outcome("completed") +
                  bookings.count_with_outcome("unknown"),
              200U);
    EXPECT_GT(bookings.count_with_outcome("completed"), 200U - 30U);
}

INSTANTIATE_TEST_SUITE_P(one_and_half, killed_vms, testing::Values(1, 2));

TEST(paused_vm, runs_no_booking_again_when_it_returns)
{
    fleet under_test(3);
    booking_checker bookings(under_test);
    auto const& paused = under_test.vms[0];
    std::atomic<bool> is_paused{false};
    run_concurrently(6, 200,
                     [&](std::size_t i)
                     {
                         auto const request =
                             make_booking("pause-" + std::to_string(i));
                         if (i == 40)
                         {
                             is_paused = true;
                             paused.program->signal(SIGSTOP);
                         }
                         if (i == 120)
                         {
                             // Keep the VM paused until a peer no longer
                             // reports it as live.
                             await("peers to suspect the paused VM",
                                   [&]
                                   {
                                       auto const status =
                                           get(under_test.vms[1].http_address(),
                                               "/v1/status")
                                               .body;
                                       for (auto const& it : status["members"])
                                       {
                                           if (it["id"] == paused.name)
                                               return it["state"] != "live";
                                       }
                                       return true;
                                   });
                             paused.program->signal(SIGCONT);
                             is_paused = false;
                         }
                         // Only requests 45 and 50 may block on the paused VM,
                         // so that the other callers continue.
                         auto const would_hang =
                             is_paused && i != 45 && i != 50;
                         auto const first = would_hang ? 1 + i % 2 : i % 3;
                         bookings.send(request, under_test.vms[first]);
                         bookings.send(request, under_test.vms[1 + i % 2]);
                     });
    paused.program->signal(SIGCONT);
    under_test.await_ready();
    bookings.await_final_outcomes();
    bookings.check_invariants();
    EXPECT_EQ(bookings.count_with_outcome("completed") +
                  bookings.count_with_outcome("unknown"),
              200U);
    EXPECT_EQ(bookings.send(make_booking("after"), paused).outcome(),
              "completed");
}

TEST(replaced_fleet, serves_settled_bookings_and_settings_again)
{
    fleet under_test(3);
    booking_checker bookings(under_test);
    std::vector<booking> sent;
    for (std::size_t i = 0; i < 12; ++i)
    {
        sent.push_back(make_booking("old-" + std::to_string(i)));
        EXPECT_EQ(bookings.send(sent.back(), under_test.vms[i % 3]).outcome(),
                  "completed");
    }
    // Once a result is stored in its claim, it survives the loss of its VM.
    for (std::size_t i = 0; i < sent.size(); ++i)
    {
        await("the result to be stored in the claim",
              [&]
              {
                  auto const& other = under_test.vms[(i + 1) % 3];
                  return bookings.send(sent[i], other).status != 202;
              });
    }
    auto const revision = under_test.write_pool_settings("bookings");
    under_test.await_settings_revision(revision);
    for (auto& it : under_test.vms)
    {
        it.program->signal(SIGKILL);
        under_test.publish_vm_state(it, "gone");
    }
    under_test.vms.clear();
    for (int n = 0; n < 3; ++n)
        under_test.start_vm();
    under_test.await_ready();
    under_test.await_settings_revision(revision);
    for (std::size_t i = 0; i < sent.size(); ++i)
    {
        auto const response = bookings.send(sent[i], under_test.vms[i % 3]);
        EXPECT_EQ(response.outcome(), "completed") << response.body.dump();
    }
    EXPECT_EQ(bookings.send(make_booking("new"), under_test.vms[0]).outcome(),
              "completed");
    bookings.check_invariants();
}

} // namespace buckthornvale::tests
