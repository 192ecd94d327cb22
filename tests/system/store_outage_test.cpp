// Guards against bookings without a claim while the object API is out or loses
// answers, against repeatable work that waits for it, and against a VM that
// cannot start without it (I3, I4, I7).
#include "support/await.hpp"
#include "support/booking_log.hpp"

namespace buckthornvale::tests
{

TEST(store_outage, refuses_bookings_and_completes_repeatable_requests)
{
    fleet under_test(3);
    booking_log bookings(under_test);
    std::vector<booking> refused;
    under_test.platform_faults({{"outage", true}});
    for (std::size_t i = 0; i < 9; ++i)
    {
        auto const& through = under_test.vms[i % 3];
        refused.push_back(make_booking("out-" + std::to_string(i)));
        auto const told = bookings.send(refused.back(), through);
        EXPECT_EQ(told.outcome(), "not_run") << told.body.dump();
        EXPECT_EQ(told.status, 503);
        EXPECT_TRUE(told.body.contains("retry_after_ms"));
        auto const lookup =
            send_request(through.http(), "lookup", {{"input", i}});
        EXPECT_EQ(lookup.outcome(), "completed") << lookup.body.dump();
    }
    EXPECT_TRUE(under_test.executions("bookings", "by_key").empty());
    under_test.platform_faults({{"outage", false}});
    bookings.settle();
    bookings.check();
    EXPECT_EQ(bookings.count("completed"), refused.size());
}

TEST(store_outage, lets_a_new_vm_take_its_settings_from_peers)
{
    fleet under_test(3);
    auto const revision = under_test.put_pool("encoders");
    under_test.await_revision(revision);
    under_test.platform_faults({{"object_outage", true}});
    auto const& started = under_test.start_vm();
    under_test.await_ready();
    EXPECT_GE(under_test.revision_of(started), revision);
    EXPECT_EQ(send_request(started.http(), "lookup", {{"input", 1}}).outcome(),
              "completed");
    booking_log bookings(under_test);
    EXPECT_EQ(bookings.send(make_booking("new-vm"), started).outcome(),
              "not_run");
    under_test.platform_faults({{"object_outage", false}});
    bookings.settle();
    bookings.check();
    EXPECT_EQ(bookings.count("completed"), 1U);
}

TEST(lost_store_answer, runs_each_booking_once_and_repeats_its_result)
{
    fleet under_test(3);
    booking_log bookings(under_test);
    under_test.platform_faults({{"lose_answers", 12}});
    std::vector<booking> sent;
    for (std::size_t i = 0; i < 12; ++i)
        sent.push_back(make_booking("lost-" + std::to_string(i)));
    generate_load(4, sent.size(),
                  [&](std::size_t i)
                  { bookings.send(sent[i], under_test.vms[i % 3]); });
    auto const stats = get(under_test.platform(), "/stats").body;
    EXPECT_GT(stats.at("lost_answers").get<int>(), 0);
    under_test.platform_faults({{"lose_answers", 0}});
    for (std::size_t i = 0; i < sent.size(); ++i)
        bookings.send(sent[i], under_test.vms[(i + 1) % 3]);
    bookings.settle();
    bookings.check();
    EXPECT_EQ(bookings.count("completed") + bookings.count("unknown"), 12U);
}

} // namespace buckthornvale::tests
