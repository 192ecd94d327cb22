// Whole sessions against golden files. Guards against unintended changes of
// what callers and operators see. Ids, times and the choice among the runners
// of a pool are normalised. To renew the files after an intended change:
//   SYSTEM_RENEW_GOLDEN=1 build/tests/system/system_tests
//       --gtest_filter='golden_session.*'
#include "support/await.hpp"
#include "support/fleet.hpp"
#include "support/session.hpp"

#include <utility>

namespace buckthornvale::tests
{

TEST(golden_session, streams_a_four_stage_request)
{
    fleet under_test(1, 1);
    session told;
    told.record("stream answer",
                send_streamed(under_test.vms[0].http(), "answer",
                              {{"input", {{"question", "when?"}}}}));
    told.expect_golden("streamed_request");
}

TEST(golden_session, sends_a_booking_twice_through_two_vms)
{
    fleet under_test(2, 1);
    session told;
    auto const what = make_booking("golden");
    told.record("booking on vm-1",
                send_request(under_test.vms[0].http(), "booking", what.body()));
    // The repeat is told that the outcome is pending until the result has
    // been written to the claim.
    reply repeated;
    await("the result in the claim",
          [&]
          {
              repeated = send_request(under_test.vms[1].http(), "booking",
                                      what.body());
              return repeated.status != 202;
          });
    told.record("booking on vm-2", repeated);
    auto other = what.body();
    other["input"] = "another body";
    told.record("the key with another body",
                send_request(under_test.vms[0].http(), "booking", other));
    told.record("outcome of the key", ask_outcome(under_test.vms[1].http(),
                                                  what.key, what.issued_at_ms));
    told.note("executions " + std::to_string(fleet::total(
                                  under_test.pools.at("bookings").runners[0])));
    told.expect_golden("repeated_booking");
}

TEST(golden_session, follows_a_settings_change_to_every_vm)
{
    fleet under_test(3, 1);
    session told;
    auto const ask = [&](std::string const& when)
    {
        for (auto const& it : under_test.vms)
            told.record("new pipeline on " + it.name + ' ' + when,
                        send_request(it.http(), "new", {{"input", 1}}));
    };
    ask("before");
    std::string const path = "settings/pipelines/new";
    std::string const value = "deadline_ms = 5000\n[[stages]]\n"
                              "name = \"encode\"\npool = \"encoders\"\n";
    auto const written = put_object(under_test.platform(), path, 0, value);
    told.note("> PUT " + path + "\n< " + std::to_string(written.status));
    auto const raced = put_object(under_test.platform(), path, 0, value);
    told.note("> PUT " + path + " from the old version\n< " +
              std::to_string(raced.status));
    under_test.await_revision(written.body["version"]);
    ask("after");
    told.expect_golden("settings_change");
}

TEST(golden_session, drains_a_vm)
{
    fleet under_test(1, 1);
    session told;
    auto& drained = under_test.vms[0];
    auto const address = drained.http();
    auto const ready = [&]
    {
        auto const status = get(address, "/readyz").status;
        told.note("> GET /readyz\n< " + std::to_string(status));
    };
    ready();
    auto const streamed = send_streamed(
        address, "talk", {{"input", {{"tokens", 400}}}},
        [&, begun = false](std::string const&) mutable
        {
            if (!std::exchange(begun, true))
            {
                told.note(
                    "> POST /v1/drain during a stream\n< " +
                    std::to_string(post(address, "/v1/drain", nullptr).status));
                await("the drain",
                      [&] { return get(address, "/readyz").status != 200; });
                ready();
            }
            return false;
        });
    told.note("stream: " + std::to_string(streamed.events.size() - 1) +
              " tokens, " + streamed.end().value("outcome", "cut"));
    told.note("exit status " + std::to_string(drained.program->wait()));
    told.expect_golden("drain");
}

TEST(golden_session, isolates_a_request_that_crashes_runners)
{
    fleet under_test(1, 4);
    session told;
    auto const& through = under_test.vms[0].http();
    // Without a retry to spend, each send would end at its first crash.
    generate_load(4, 40,
                  [&](std::size_t i) {
                      send_request(through, "lookup", {{"input", i}});
                  });
    for (auto const& it : under_test.pools.at("encoders").runners)
        fleet::faults(it, {{"exit_marker", "poison"}});
    for (int n = 1; n <= 3; ++n)
        told.record("send " + std::to_string(n),
                    send_request(through, "lookup", {{"input", "poison"}}));
    // How many dead runners it meets first depends on the choice of runners.
    auto const other = send_request(through, "lookup", {{"input", "harmless"}});
    told.note("another request: " + other.outcome());
    told.expect_golden("crashing_request");
}

} // namespace buckthornvale::tests
