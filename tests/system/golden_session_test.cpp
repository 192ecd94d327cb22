// Compares whole sessions with golden files. Guards against unintended changes
// to the responses that callers and operators see. Ids, times and runner
// numbers are normalised. To update the files after an intended change:
//   SYSTEM_RENEW_GOLDEN=1 build/tests/system/system_tests
//       --gtest_filter='golden_session.*'
#include "support/await.hpp"
#include "support/fleet.hpp"
#include "support/session_transcript.hpp"

#include <utility>

namespace buckthornvale::tests
{

TEST(golden_session, streams_a_four_stage_request)
{
    fleet under_test(1, 1);
    session_transcript transcript;
    transcript.record(
        "stream answer",
        send_streaming_request(under_test.vms[0].http_address(), "answer",
                               {{"input", {{"question", "when?"}}}}));
    transcript.expect_golden("streamed_request");
}

TEST(golden_session, sends_a_booking_twice_through_two_vms)
{
    fleet under_test(2, 1);
    session_transcript transcript;
    auto const request = make_booking("golden");
    transcript.record("booking on vm-1",
                      send_request(under_test.vms[0].http_address(), "booking",
                                   request.body()));
    // Until the result is stored in the booking's claim, a repeat gets status
    // 202.
    reply repeated;
    await("the result to be stored in the claim",
          [&]
          {
              repeated = send_request(under_test.vms[1].http_address(),
                                      "booking", request.body());
              return repeated.status != 202;
          });
    transcript.record("booking on vm-2", repeated);
    auto other = request.body();
    other["input"] = "another body";
    transcript.record(
        "the key with another body",
        send_request(under_test.vms[0].http_address(), "booking", other));
    transcript.record("outcome of the key",
                      get_outcome(under_test.vms[1].http_address(), request.key,
                                  request.issued_at_ms));
    transcript.add_line("executions " +
                        std::to_string(fleet::total_executions(
                            under_test.pools.at("bookings").runners[0])));
    transcript.expect_golden("repeated_booking");
}

TEST(golden_session, follows_a_settings_change_to_every_vm)
{
    fleet under_test(3, 1);
    session_transcript transcript;
    auto const record_requests = [&](std::string const& when)
    {
        for (auto const& it : under_test.vms)
            transcript.record(
                "new pipeline on " + it.name + ' ' + when,
                send_request(it.http_address(), "new", {{"input", 1}}));
    };
    record_requests("before");
    std::string const path = "settings/pipelines/new";
    std::string const value = "deadline_ms = 5000\n[[stages]]\n"
                              "name = \"encode\"\npool = \"encoders\"\n";
    auto const written =
        put_object(under_test.platform_address(), path, 0, value);
    transcript.add_line("> PUT " + path + "\n< " +
                        std::to_string(written.status));
    auto const conflicting =
        put_object(under_test.platform_address(), path, 0, value);
    transcript.add_line("> PUT " + path + " from the old version\n< " +
                        std::to_string(conflicting.status));
    under_test.await_settings_revision(written.body["version"]);
    record_requests("after");
    transcript.expect_golden("settings_change");
}

TEST(golden_session, drains_a_vm)
{
    fleet under_test(1, 1);
    session_transcript transcript;
    auto& drained = under_test.vms[0];
    auto const address = drained.http_address();
    auto const record_readiness = [&]
    {
        auto const status = get(address, "/readyz").status;
        transcript.add_line("> GET /readyz\n< " + std::to_string(status));
    };
    record_readiness();
    auto const streamed = send_streaming_request(
        address, "talk", {{"input", {{"tokens", 400}}}},
        [&, drain_sent = false](std::string const&) mutable
        {
            if (!std::exchange(drain_sent, true))
            {
                transcript.add_line(
                    "> POST /v1/drain during a stream\n< " +
                    std::to_string(post(address, "/v1/drain", nullptr).status));
                await("/readyz to fail",
                      [&] { return get(address, "/readyz").status != 200; });
                record_readiness();
            }
            return false;
        });
    transcript.add_line(
        "stream: " + std::to_string(streamed.events.size() - 1) + " tokens, " +
        streamed.end_event().value("outcome", "cut"));
    transcript.add_line("exit status " +
                        std::to_string(drained.program->wait()));
    transcript.expect_golden("drain");
}

TEST(golden_session, isolates_a_request_that_crashes_runners)
{
    fleet under_test(1, 4);
    session_transcript transcript;
    auto const& entry_address = under_test.vms[0].http_address();
    // Successful requests earn retries. Without them each poisoned request
    // would fail after crashing one runner.
    run_concurrently(4, 40,
                     [&](std::size_t i) {
                         send_request(entry_address, "lookup", {{"input", i}});
                     });
    for (auto const& it : under_test.pools.at("encoders").runners)
        fleet::set_faults(it, {{"exit_marker", "poison"}});
    for (int n = 1; n <= 3; ++n)
        transcript.record(
            "send " + std::to_string(n),
            send_request(entry_address, "lookup", {{"input", "poison"}}));
    // Only the outcome is recorded: the number of attempts depends on how many
    // crashed runners are chosen first.
    auto const other =
        send_request(entry_address, "lookup", {{"input", "harmless"}});
    transcript.add_line("another request: " + other.outcome());
    transcript.expect_golden("crashing_request");
}

} // namespace buckthornvale::tests
