// Guards against bookings that run without a claim while the object API is down
// or loses responses, against repeatable requests that wait for the object API,
// and against a VM that cannot start without it (invariants I3, I4 and I7).
#include "support/await.hpp"
#include "support/booking_checker.hpp"

namespace buckthornvale::tests
{

TEST(store_outage, refuses_bookings_and_completes_repeatable_requests)
{
    fleet under_test(3);
    booking_checker bookings(under_test);
    std::vector<booking> refused;
    under_test.set_platform_faults({{"outage", true}});
    for (std::size_t i = 0; i < 9; ++i)
    {
        auto const& entry_vm = under_test.vms[i % 3];
        refused.push_back(make_booking("out-" + std::to_string(i)));
        auto const response = bookings.send(refused.back(), entry_vm);
        EXPECT_EQ(response.outcome(), "not_run") << response.body.dump();
        EXPECT_EQ(response.status, 503);
        EXPECT_TRUE(response.body.contains("retry_after_ms"));
        auto const lookup =
            send_request(entry_vm.http_address(), "lookup", {{"input", i}});
        EXPECT_EQ(lookup.outcome(), "completed") << lookup.body.dump();
    }
    EXPECT_TRUE(under_test.executions("bookings", "by_key").empty());
    under_test.set_platform_faults({{"outage", false}});
    bookings.await_final_outcomes();
    bookings.check_invariants();
    EXPECT_EQ(bookings.count_with_outcome("completed"), refused.size());
}

TEST(store_outage, lets_a_new_vm_take_its_settings_from_peers)
{
    fleet under_test(3);
    auto const revision = under_test.write_pool_settings("encoders");
    under_test.await_settings_revision(revision);
    under_test.set_platform_faults({{"object_outage", true}});
    auto const& started = under_test.start_vm();
    under_test.await_ready();
    EXPECT_GE(under_test.settings_revision(started), revision);
    EXPECT_EQ(send_request(started.http_address(), "lookup", {{"input", 1}})
                  .outcome(),
              "completed");
    booking_checker bookings(under_test);
    EXPECT_EQ(bookings.send(make_booking("new-vm"), started).outcome(),
              "not_run");
    under_test.set_platform_faults({{"object_outage", false}});
    bookings.await_final_outcomes();
    bookings.check_invariants();
    EXPECT_EQ(bookings.count_with_outcome("completed"), 1U);
}

TEST(lost_store_answer, runs_each_booking_once_and_repeats_its_result)
{
    fleet under_test(3);
    booking_checker bookings(under_test);
    under_test.set_platform_faults({{"lose_answers", 12}});
    std::vector<booking> sent;
    for (std::size_t i = 0; i < 12; ++i)
        sent.push_back(make_booking("lost-" + std::to_string(i)));
    run_concurrently(4, sent.size(),
                     [&](std::size_t i)
                     { bookings.send(sent[i], under_test.vms[i % 3]); });
    auto const stats = get(under_test.platform_address(), "/stats").body;
    EXPECT_GT(stats.at("lost_answers").get<int>(), 0);
    under_test.set_platform_faults({{"lose_answers", 0}});
    for (std::size_t i = 0; i < sent.size(); ++i)
        bookings.send(sent[i], under_test.vms[(i + 1) % 3]);
    bookings.await_final_outcomes();
    bookings.check_invariants();
    EXPECT_EQ(bookings.count_with_outcome("completed") +
                  bookings.count_with_outcome("unknown"),
              12U);
}

} // namespace buckthornvale::tests
