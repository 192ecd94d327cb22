// Guards against faults of runners that cause: a result delivered to another
// request, a gap in a stream, a booking executed again after its response was
// lost, a request that crashes every runner, and work that continues after its
// caller has disconnected (invariants I1, I2, I3 and I4).
#include "support/await.hpp"
#include "support/booking_checker.hpp"

#include <mutex>

namespace buckthornvale::tests
{

namespace
{

json result_digest(reply const& response)
{
    auto const& body = response.body;
    return body.is_object() && body.contains("result")
               ? body["result"].value("digest", "")
               : "";
}

reply send_lookup(vm const& entry_vm, std::size_t n, int deadline_ms = 5000)
{
    return send_request(
        entry_vm.http_address(), "lookup",
        {{"input", {{"number", n}}}, {"deadline_ms", deadline_ms}});
}

// Returns the digest of the output for each input. Call it before faults are
// set.
std::vector<json> expected_digests(fleet& under_test, std::size_t count)
{
    std::vector<json> digests;
    for (std::size_t n = 0; n < count; ++n)
        digests.push_back(result_digest(send_lookup(under_test.vms[0], n)));
    return digests;
}

// Each first attempt adds 0.1 to the retry budget, which is empty on a new VM.
void earn_retry_budget(fleet& under_test)
{
    auto const n = under_test.vms.size();
    run_concurrently(4, 40 * n,
                     [&](std::size_t i)
                     { send_lookup(under_test.vms[i % n], i); });
}

} // namespace

TEST(crossed_answer, never_reaches_another_request)
{
    fleet under_test(2);
    auto const expected = expected_digests(under_test, 40);
    EXPECT_NE(expected[0], expected[1]);
    for (auto const& it : under_test.pools.at("encoders").runners)
        fleet::set_faults(it, {{"cross", true}, {"cross_wait_ms", 100}});
    std::size_t completed = 0;
    // Swapped responses may open the circuit breakers of all runners, so that
    // some requests are not run.
    std::vector<std::string> not_run_ids;
    std::mutex mutex;
    run_concurrently(8, 40,
                     [&](std::size_t i)
                     {
                         auto const response =
                             send_lookup(under_test.vms[i % 2], i);
                         EXPECT_NE(response.outcome(), "");
                         std::lock_guard const lock(mutex);
                         if (response.outcome() == "not_run")
                             not_run_ids.push_back(response.request_id());
                         if (response.outcome() != "completed")
                             return;
                         EXPECT_EQ(result_digest(response), expected[i]);
                         ++completed;
                     });
    EXPECT_GT(completed, 0U);
    auto const executed = under_test.executions("encoders", "by_request");
    for (auto const& id : not_run_ids)
        EXPECT_EQ(executed.count(id), 0U)
            << "invariant I3: reported as not_run but executed";
}

TEST(late_answer, is_told_unknown_and_reaches_nobody_else)
{
    fleet under_test(2);
    auto const expected = expected_digests(under_test, 12);
    auto const& encoders = under_test.pools.at("encoders").runners;
    for (auto const& it : encoders)
        fleet::set_faults(it, {{"delay_ms", 600}});
    run_concurrently(
        4, 4,
        [&](std::size_t i)
        {
            auto const response =
                send_lookup(under_test.vms[i % 2], 100 + i, 200);
            EXPECT_EQ(response.outcome(), "unknown") << response.body;
            // The timeout of the attempt (502) and the deadline of the
            // request (504) end together, so either may be detected first.
            EXPECT_TRUE(response.status == 504 || response.status == 502)
                << response.status;
            EXPECT_EQ(response.body.value("safe_to_repeat", false), true);
        });
    for (auto const& it : encoders)
        fleet::set_faults(it, json::object());
    run_concurrently(4, expected.size(),
                     [&](std::size_t i)
                     {
                         auto const response =
                             send_lookup(under_test.vms[i % 2], i);
                         EXPECT_EQ(response.outcome(), "completed")
                             << response.body;
                         EXPECT_EQ(result_digest(response), expected[i]);
                     });
}

TEST(broken_stream, resumes_on_another_engine_without_a_gap)
{
    fleet under_test(1);
    auto const& entry_address = under_test.vms[0].http_address();
    json const body = {{"input", {{"tokens", 30}}}};
    auto const uninterrupted =
        send_streaming_request(entry_address, "talk", body);
    ASSERT_EQ(uninterrupted.events.size(), 31U);
    earn_retry_budget(under_test);
    fleet::set_faults(under_test.pools.at("assistants").runners[0],
                      {{"break_after", 7}});
    std::size_t resumed = 0;
    for (int n = 0; n < 20 && resumed == 0; ++n)
    {
        auto const response =
            send_streaming_request(entry_address, "talk", body);
        ASSERT_EQ(response.end_event().value("outcome", ""), "completed")
            << response.end_event();
        EXPECT_EQ(response.text(), uninterrupted.text());
        for (std::size_t i = 0; i + 1 < response.events.size(); ++i)
            EXPECT_EQ(response.events[i].second["index"], i);
        resumed += response.end_event()["stages"][0]["attempts"] == 2 ? 1 : 0;
    }
    EXPECT_GT(resumed, 0U);
}

TEST(dropped_answer, of_a_booking_is_told_unknown_and_runs_once)
{
    fleet under_test(2);
    booking_checker bookings(under_test);
    auto& services = under_test.pools.at("bookings");
    // Without `answers_outcomes` no VM can query the service for the outcome of
    // a key, so the outcome stays unknown.
    services.settings = "";
    under_test.await_settings_revision(
        under_test.write_pool_settings("bookings"));
    for (auto const& it : services.runners)
        fleet::set_faults(it, {{"drop_after", true}});
    auto const request = make_booking("dropped");
    auto const response = bookings.send(request, under_test.vms[0]);
    EXPECT_EQ(response.outcome(), "unknown") << response.body;
    EXPECT_EQ(response.body.value("safe_to_repeat", true), false);
    for (auto const& it : services.runners)
        fleet::set_faults(it, json::object());
    for (int n = 0; n < 4; ++n)
        EXPECT_EQ(bookings.send(request, under_test.vms[n % 2]).outcome(),
                  "unknown");
    EXPECT_EQ(get_outcome(under_test.vms[1].http_address(), request.key,
                          request.issued_at_ms)
                  .outcome(),
              "unknown");
    bookings.check_invariants();
    EXPECT_EQ(under_test.executions("bookings", "by_request").size(), 1U);
}

TEST(dropped_answer, is_settled_where_the_service_can_be_asked)
{
    // A single service: real instances that answer outcome queries share their
    // records, but the stand-ins do not.
    fleet under_test(2, 1);
    booking_checker bookings(under_test);
    for (auto const& it : under_test.pools.at("bookings").runners)
        fleet::set_faults(it, {{"drop_after", true}});
    auto const request = make_booking("asked");
    bookings.send(request, under_test.vms[0]);
    await("the outcome by key",
          [&] {
              return bookings.send(request, under_test.vms[1]).outcome() ==
                     "completed";
          });
    bookings.check_invariants();
}

TEST(crashing_request, kills_at_most_three_engines)
{
    fleet under_test(3, 8);
    auto& encoders = under_test.pools.at("encoders").runners;
    under_test.await_peer_links();
    earn_retry_budget(under_test);
    for (auto const& it : encoders)
        fleet::set_faults(it, {{"exit_marker", "poison"}});
    std::vector<reply> responses;
    for (std::size_t i = 0; i < 12; ++i)
        responses.push_back(send_request(under_test.vms[i % 3].http_address(),
                                         "lookup", {{"input", "poison"}}));
    std::size_t exited_runners = 0;
    for (auto& it : encoders)
        exited_runners += it.program->running() ? 0 : 1;
    EXPECT_GE(exited_runners, 1U);
    EXPECT_LE(exited_runners, 3U);
    EXPECT_NE(responses[0].outcome(), "not_run") << responses[0].body;
    for (std::size_t i = 6; i < responses.size(); ++i)
    {
        EXPECT_EQ(responses[i].outcome(), "not_run") << responses[i].body;
        EXPECT_EQ(responses[i].error_kind(), "isolated");
    }
    for (std::size_t i = 0; i < 30; ++i)
    {
        auto const answer = send_lookup(under_test.vms[i % 3], i);
        EXPECT_EQ(answer.outcome(), "completed") << answer.body;
    }
}

TEST(hang_up, cancels_the_engine_call)
{
    fleet under_test(1);
    auto const& engines = under_test.pools.at("assistants").runners;
    for (auto const& it : engines)
        fleet::set_faults(it, {{"token_delay_ms", 50}});
    // The stream would take 200 s and its deadline is 600 s, so only the cancel
    // can end it within `hang_timeout`.
    send_streaming_request(
        under_test.vms[0].http_address(), "talk",
        {{"input", {{"tokens", 4000}}}, {"deadline_ms", 600'000}},
        [n = 0](std::string const&) mutable { return ++n == 3; });
    await("an engine to report one cancel",
          [&]
          {
              std::uint64_t cancels = 0;
              for (auto const& it : engines)
                  cancels += get(it.address(), "/executions")
                                 .body.at("cancels")
                                 .get<std::uint64_t>();
              return cancels == 1;
          });
    await("all engines to be idle",
          [&]
          {
              int running = 0;
              for (auto const& it : engines)
                  running +=
                      get(it.address(), "/v1/load").body["running"].get<int>();
              return running == 0;
          });
}

} // namespace buckthornvale::tests
