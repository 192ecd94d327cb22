#include "reducer_fixture.hpp"

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

class gateway_requests : public reducer_fixture
{
};

class gateway_streams : public reducer_fixture
{
};

TEST_F(gateway_requests, are_forwarded_with_their_organisation)
{
    auto const sent = only<send_attempt>(arrive("/book/x"));
    EXPECT_EQ(sent.organisation, "org");
    EXPECT_EQ(sent.time_left, 1500ms);
    auto const out = end_attempt(attempt_outcome::answered, 200, true);
    EXPECT_EQ(all<deliver_answer>(out).size(), 1U);
    EXPECT_EQ(gateway.active_requests(), 0U);
}

// A VM without a manifest must not answer that the route is unknown, because
// the request may be valid.
TEST(gateway_start, answers_unavailable_before_the_first_manifest)
{
    reducer it({"vm-0", "north", 2s, 0s, 3s, {}});
    request_arrived in;
    in.request = 1;
    auto const out = it.reduce(in, time_point(1s));
    ASSERT_FALSE(out.empty());
    EXPECT_EQ(std::get<refuse_request>(out.back()).status, 503);
    EXPECT_FALSE(it.ready());
}

TEST_F(gateway_requests, are_refused_for_unknown_routes_and_keys)
{
    EXPECT_EQ(only<refuse_request>(arrive("/none/")).status, 404);
    request_arrived in;
    in.request = ++last_request;
    in.traits.host = "h";
    in.traits.path = "/book/";
    in.traits.key = "revoked";
    EXPECT_EQ(only<refuse_request>(feed(in)).status, 401);
}

// A manifest with an older version may arrive late and must not replace a newer
// one.
TEST_F(gateway_requests, keep_the_newest_manifest)
{
    feed(manifest_changed{make_manifest(5)});
    feed(manifest_changed{make_manifest(3)});
    EXPECT_EQ(gateway.current_manifest()->version, 5U);
}

// After an attempt that may have run, the request must not run a second time,
// and the answer must not claim that it was not executed.
TEST_F(gateway_requests, are_not_retried_when_at_most_once_and_possibly_run)
{
    arrive("/book/x");
    for (auto const outcome :
         {attempt_outcome::no_answer, attempt_outcome::interrupted})
    {
        auto const out = end_attempt(outcome);
        EXPECT_TRUE(all<send_attempt>(out).empty());
        EXPECT_EQ(only<refuse_request>(out).status, 502);
        arrive("/book/x");
    }
    auto const out = end_attempt(attempt_outcome::answered, 503, true);
    EXPECT_TRUE(all<send_attempt>(out).empty());
    EXPECT_EQ(only<refuse_request>(out).status, 502);
}

TEST_F(gateway_requests, are_retried_when_at_most_once_and_not_run)
{
    auto const first = only<send_attempt>(arrive("/book/x"));
    auto const second =
        only<send_attempt>(end_attempt(attempt_outcome::refused, 503));
    EXPECT_NE(first.runner_id, second.runner_id);
    auto const third =
        only<send_attempt>(end_attempt(attempt_outcome::not_sent));
    EXPECT_NE(third.runner_id, second.runner_id);
    auto const out = end_attempt(attempt_outcome::refused, 503);
    auto const refused = only<refuse_request>(out);
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.retry_after);
}

TEST_F(gateway_requests, are_retried_on_another_runner_when_idempotent)
{
    auto const first = only<send_attempt>(arrive("/read/x"));
    auto const second =
        only<send_attempt>(end_attempt(attempt_outcome::answered, 500, true));
    EXPECT_NE(first.runner_id, second.runner_id);
    // The route allows two runners: the second failure is returned to the
    // caller.
    auto const out = end_attempt(attempt_outcome::answered, 500, true);
    EXPECT_EQ(all<deliver_answer>(out).size(), 1U);
}

// Without a valid seal the body of a success may be damaged.
TEST_F(gateway_requests, fail_on_a_success_without_a_seal)
{
    arrive("/book/x");
    auto const out = end_attempt(attempt_outcome::answered, 200, false);
    EXPECT_EQ(only<refuse_request>(out).status, 502);
}

// Retries to a failing service are limited by the budget: 0.2 retries per
// request plus 30 from the slack.
TEST_F(gateway_requests, are_retried_within_the_budget)
{
    int again = 0;
    for (int n = 0; n < 200; ++n)
    {
        arrive("/read/x" + std::to_string(n));
        auto const out = end_attempt(attempt_outcome::answered, 500, true);
        if (!all<send_attempt>(out).empty())
        {
            ++again;
            end_attempt(attempt_outcome::answered, 500, true);
        }
    }
    EXPECT_GE(again, 60);
    EXPECT_LE(again, 70);
}

TEST_F(gateway_requests, fail_at_the_deadline)
{
    arrive("/book/x", 500ms);
    EXPECT_TRUE(all<refuse_request>(advance(480ms)).empty());
    auto const out = advance(40ms);
    EXPECT_EQ(only<refuse_request>(out).status, 504);
    EXPECT_EQ(all<cancel_attempt>(out).size(), 1U);
}

// Runners must not keep working for callers that have left, but a request that
// must not be repeated is not interrupted.
TEST_F(gateway_requests, are_cancelled_when_the_caller_disconnects)
{
    arrive("/read/x");
    EXPECT_EQ(all<cancel_attempt>(feed(caller_left{last_request})).size(), 1U);
    arrive("/book/x");
    EXPECT_TRUE(all<cancel_attempt>(feed(caller_left{last_request})).empty());
    auto const out = end_attempt(attempt_outcome::answered, 200, true);
    EXPECT_TRUE(all<deliver_answer>(out).empty());
    EXPECT_EQ(gateway.active_requests(), 0U);
}

// A process that was delayed took its runners for silent, although their
// answers had arrived and waited to be read.
TEST_F(gateway_requests, are_not_hedged_before_the_input_of_a_delay_is_read)
{
    arrive("/read/x");
    auto const before_delay = now;
    now += 1s;
    auto const out = feed(timer_fired{before_delay});
    EXPECT_TRUE(all<cancel_attempt>(out).empty());
    EXPECT_EQ(all<cancel_attempt>(feed(timer_fired{now})).size(), 1U);
}

// An idempotent request must not wait for a silent runner until its deadline.
TEST_F(gateway_requests, are_hedged_when_a_runner_is_silent)
{
    auto const first = only<send_attempt>(arrive("/read/x"));
    auto const out = advance(700ms);
    EXPECT_EQ(all<cancel_attempt>(out).size(), 1U);
    EXPECT_NE(only<send_attempt>(out).runner_id, first.runner_id);
}

// A request that was cancelled at a silent runner failed as soon as the others
// refused it, although it could have waited for them.
TEST_F(gateway_requests, are_tried_again_when_others_refuse_after_a_silence)
{
    arrive("/read/x", 3s);
    EXPECT_EQ(all<send_attempt>(advance(700ms)).size(), 1U);
    ++next_attempt;
    EXPECT_EQ(
        all<send_attempt>(end_attempt(attempt_outcome::refused, 503)).size(),
        1U);
    auto out = end_attempt(attempt_outcome::refused, 503);
    EXPECT_TRUE(all<refuse_request>(out).empty());
    EXPECT_EQ(all<send_attempt>(advance(200ms)).size(), 1U);
    out = end_attempt(attempt_outcome::answered, 200, true);
    EXPECT_EQ(all<deliver_answer>(out).size(), 1U);
}

// What no runner has run is refused at once, so that its caller can go
// elsewhere.
TEST_F(gateway_requests, are_refused_at_once_when_all_runners_refuse)
{
    auto out = arrive("/read/x", 3s);
    for (int n = 0; n < 3; ++n)
    {
        EXPECT_EQ(all<send_attempt>(out).size(), 1U);
        out = end_attempt(attempt_outcome::refused, 503);
    }
    EXPECT_EQ(only<refuse_request>(out).status, 503);
}

// Retries of content that crashes its runner would crash one runner after the
// other.
TEST_F(gateway_requests, are_refused_when_their_content_crashes_runners)
{
    int sends = 0;
    for (int n = 0; n < 6; ++n)
    {
        auto const out = arrive("/book/crash");
        sends += int(all<send_attempt>(out).size());
        if (!all<send_attempt>(out).empty())
            end_attempt(attempt_outcome::no_answer);
    }
    EXPECT_EQ(sends, 3);
    EXPECT_EQ(all<send_attempt>(arrive("/book/other")).size(), 1U);
}

TEST_F(gateway_requests, are_accepted_while_draining_without_readiness)
{
    EXPECT_TRUE(gateway.ready());
    feed(drain_started{2500ms, 7400ms});
    EXPECT_FALSE(gateway.ready());
    EXPECT_EQ(all<send_attempt>(arrive("/book/x")).size(), 1U);
}

// A stream that is not resumable must not run twice, and a broken stream must
// not look complete to the caller.
TEST_F(gateway_streams, abort_a_broken_stream_that_cannot_be_resumed)
{
    arrive("/stream/x", 6s);
    feed(stream_started{last_request, 1, {}, {}});
    auto const out = end_attempt(attempt_outcome::interrupted, 200, true);
    EXPECT_TRUE(all<send_attempt>(out).empty());
    EXPECT_EQ(all<abort_stream>(out).size(), 1U);
}

TEST_F(gateway_streams, resume_on_another_runner_after_the_last_event)
{
    auto const first = only<send_attempt>(arrive("/resume/x", 6s));
    feed(stream_started{last_request, 1, {}, {}});
    attempt_ended in;
    in.request = last_request;
    in.attempt = next_attempt++;
    in.transport = transport_end::broken_off;
    in.last_event_id = "17";
    auto const second = only<send_attempt>(feed(in));
    EXPECT_EQ(second.last_event_id, "17");
    EXPECT_NE(second.runner_id, first.runner_id);
}

// Guards against a second runner's error that ends the caller's stream as
// complete.
TEST_F(gateway_streams, are_aborted_when_a_second_runner_answers_with_an_error)
{
    for (int const status : {500, 503, 404, 204})
    {
        arrive("/resume/" + std::to_string(status), 6s);
        feed(stream_started{last_request, 1, {}, {}});
        EXPECT_EQ(
            all<send_attempt>(end_attempt(attempt_outcome::interrupted)).size(),
            1U);
        auto const out = end_attempt(attempt_outcome::answered, status, true);
        EXPECT_TRUE(all<deliver_answer>(out).empty()) << status;
        EXPECT_EQ(all<abort_stream>(out).size(), 1U) << status;
        // Until the back-off of these runners has ended.
        advance(5s);
    }
}

// A runner may stall in the middle of a stream while its connection stays open.
TEST_F(gateway_streams, resume_on_another_runner_after_a_stall)
{
    arrive("/resume/x", 6s);
    feed(stream_started{last_request, 1, {}, {}});
    EXPECT_TRUE(all<send_attempt>(advance(1900ms)).empty());
    feed(stream_advanced{last_request, 1, {}});
    EXPECT_TRUE(all<send_attempt>(advance(1900ms)).empty());
    auto const out = advance(300ms);
    EXPECT_EQ(all<cancel_attempt>(out).size(), 1U);
    EXPECT_EQ(all<send_attempt>(out).size(), 1U);
}

// Late events of an earlier attempt must not affect the current one.
TEST_F(gateway_streams, ignore_events_of_an_earlier_attempt)
{
    arrive("/resume/x", 6s);
    end_attempt(attempt_outcome::no_answer);
    attempt_ended late;
    late.request = last_request;
    late.attempt = 1;
    late.transport = transport_end::complete;
    late.status = 200;
    late.sealed = true;
    EXPECT_TRUE(feed(late).empty());
}

// Callers waited in vain, or their requests ran against the runners' wish, when
// all runners of a service had asked for quiet.
TEST_F(gateway_requests, are_refused_at_once_while_all_runners_want_none)
{
    for (auto const* id : {"plain-1", "plain-2", "plain-3"})
        feed(runner_notified{id, false, 10s});
    for (int n = 0; n < 20; ++n)
    {
        auto const out = arrive("/read/x");
        EXPECT_TRUE(all<send_attempt>(out).empty());
        auto const refused = only<refuse_request>(out);
        EXPECT_EQ(refused.status, 503);
        EXPECT_GE(refused.retry_after.value_or(0s), 10s);
        EXPECT_LE(refused.retry_after.value_or(0s), 23s);
    }
    advance(16s);
    EXPECT_EQ(all<send_attempt>(arrive("/read/x")).size(), 1U);
}

runner_notified limit_of(std::string const& runner, double per_s)
{
    return {runner, false, {}, {named_rate_limit::kind::limit, per_s}};
}

// Requests that no runner may get in time waited for their deadline, or went to
// a runner against its limit.
TEST_F(gateway_requests, are_refused_at_once_when_no_share_is_left_in_time)
{
    for (auto const* id : {"plain-1", "plain-2", "plain-3"})
        feed(limit_of(id, 0.05));
    advance(20s);
    int sent = 0;
    for (int n = 0; n < 20; ++n)
    {
        auto const out = arrive("/read/x", 6s);
        sent += int(all<send_attempt>(out).size());
        auto const refused = all<refuse_request>(out);
        for (auto const& it : refused)
            EXPECT_GT(it.retry_after.value_or(0s), 0s);
    }
    EXPECT_EQ(sent, 3);
    EXPECT_EQ(gateway.active_requests(), 3U);
}

// The more urgent of two requests that wait gets the next share.
TEST_F(gateway_requests, wait_for_a_share_while_they_can_be_on_time)
{
    for (auto const* id : {"plain-1", "plain-2", "plain-3"})
        feed(limit_of(id, 1.5));
    advance(2s);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(all<send_attempt>(arrive("/read/x", 6s)).size(), 1U);
    auto const out = arrive("/read/x", 6s);
    EXPECT_TRUE(all<send_attempt>(out).empty());
    EXPECT_TRUE(all<refuse_request>(out).empty());
    EXPECT_EQ(all<send_attempt>(advance(700ms)).size(), 1U);
}

// Stages were computed for requests whose last runner would not take them.
TEST_F(gateway_requests, start_no_stage_while_all_model_runners_want_none)
{
    for (auto const* id : {"engine-1", "engine-2", "engine-3"})
        feed(runner_notified{id, false, 10s});
    auto const out = arrive("/staged/x", 5s);
    EXPECT_TRUE(all<call_stage>(out).empty());
    EXPECT_EQ(only<refuse_request>(out).status, 503);
}

TEST_F(gateway_requests, are_not_sent_to_a_runner_that_leaves)
{
    feed(runner_notified{"plain-1", true, {}});
    for (int n = 0; n < 50; ++n)
    {
        auto const sent = only<send_attempt>(arrive("/read/x"));
        EXPECT_NE(sent.runner_id, "plain-1");
    }
}

// Requests that came late in the grace period were sent to runners and cut off
// with the process.
TEST_F(gateway_requests, are_refused_late_in_a_drain)
{
    feed(drain_started{2500ms, 7400ms});
    advance(2400ms);
    EXPECT_EQ(all<send_attempt>(arrive("/book/x")).size(), 1U);
    advance(200ms);
    for (auto const* path : {"/book/x", "/read/x", "/stream/x"})
    {
        auto const out = arrive(path);
        EXPECT_TRUE(all<send_attempt>(out).empty());
        auto const refused = only<refuse_request>(out);
        EXPECT_EQ(refused.status, 503);
        EXPECT_TRUE(refused.retry_after);
    }
}

// Whatever is in progress when the process ends gets an answer, which promises
// nothing if a runner may have run the request.
TEST_F(gateway_requests, are_answered_before_the_end_of_a_drain)
{
    feed(drain_started{2500ms, 7400ms});
    advance(2400ms);
    arrive("/book/x", 20s);
    advance(4900ms);
    EXPECT_EQ(gateway.active_requests(), 1U);
    auto const out = advance(200ms);
    EXPECT_EQ(only<refuse_request>(out).status, 502);
    EXPECT_EQ(all<cancel_attempt>(out).size(), 1U);
    EXPECT_EQ(gateway.active_requests(), 0U);
}

// A stream whose caller took its events slowly was moved to another runner,
// since nothing more was read from the first.
TEST_F(gateway_streams, are_not_moved_while_their_caller_is_slow)
{
    arrive("/resume/x", 20s);
    feed(stream_started{last_request, 1, {}, "1"});
    feed(delivery_blocked{last_request, true});
    EXPECT_TRUE(all<send_attempt>(advance(3s)).empty());
    feed(delivery_blocked{last_request, false});
    EXPECT_TRUE(all<send_attempt>(advance(1900ms)).empty());
    EXPECT_EQ(all<send_attempt>(advance(300ms)).size(), 1U);
}

// A runner that stalled and sent a comment now and then kept its stream for
// ever.
TEST_F(gateway_streams, are_moved_from_a_runner_that_sends_comments_only)
{
    arrive("/resume/x", 20s);
    feed(stream_started{last_request, 1, {}, "1"});
    std::vector<send_attempt> sent;
    for (int n = 0; n < 8 && sent.empty(); ++n)
    {
        feed(stream_advanced{last_request, 1, "1"});
        sent = all<send_attempt>(advance(300ms));
    }
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().last_event_id, "1");
}

// A sound runner may fall silent for a second or so and go on. Its streams were
// cancelled and moved.
TEST_F(gateway_streams, stay_on_a_runner_that_is_silent_for_a_second)
{
    arrive("/resume/x", 6s);
    feed(stream_started{last_request, 1, {}, "1"});
    EXPECT_TRUE(all<cancel_attempt>(advance(1500ms)).empty());
    feed(stream_advanced{last_request, 1, "2"});
    EXPECT_TRUE(all<cancel_attempt>(advance(1500ms)).empty());
}

// A silent stream was cancelled before it was known whether another runner can
// go on, and aborted when none could.
TEST_F(gateway_streams, stay_on_a_silent_runner_while_no_other_is_usable)
{
    for (auto const* id : {"engine-1", "engine-2", "engine-3"})
        feed(runner_notified{id, false, 10s});
    feed(runner_changed{make_runner("engine-4", "engine")});
    auto const sent = only<send_attempt>(arrive("/resume/x", 6s));
    EXPECT_EQ(sent.runner_id, "engine-4");
    feed(stream_started{last_request, 1, {}, "1"});
    auto const out = advance(5s);
    EXPECT_TRUE(all<cancel_attempt>(out).empty());
    EXPECT_TRUE(all<abort_stream>(out).empty());
}

// A silent stream was cancelled although another runner could not go on with it
// before its deadline.
TEST_F(gateway_streams, stay_on_a_silent_runner_shortly_before_the_deadline)
{
    arrive("/resume/x", 2100ms);
    feed(stream_started{last_request, 1, {}, "1"});
    EXPECT_TRUE(all<cancel_attempt>(advance(2080ms)).empty());
}

// A stream whose runner was lost was aborted as soon as the others refused to
// go on with it, long before its deadline.
TEST_F(gateway_streams, are_resumed_later_when_all_runners_refuse)
{
    arrive("/resume/x", 6s);
    feed(stream_started{last_request, 1, {}, "1"});
    auto out = end_attempt(attempt_outcome::interrupted);
    for (int n = 0; n < 4 && !all<send_attempt>(out).empty(); ++n)
        out = end_attempt(attempt_outcome::refused, 503);
    EXPECT_TRUE(all<abort_stream>(out).empty());
    out = advance(1s);
    EXPECT_TRUE(all<abort_stream>(out).empty());
    EXPECT_EQ(only<send_attempt>(out).last_event_id, "1");
    attempt_ended rest;
    rest.request = last_request;
    rest.attempt = next_attempt;
    rest.transport = transport_end::complete;
    rest.status = 200;
    rest.identified = rest.sealed = true;
    rest.event_stream = rest.has_events = true;
    EXPECT_EQ(all<deliver_answer>(feed(rest)).size(), 1U);
}

// The wait for a runner ends with the deadline of the request.
TEST_F(gateway_streams, are_aborted_at_the_deadline_when_no_runner_resumes_them)
{
    arrive("/resume/x", 6s);
    feed(stream_started{last_request, 1, {}, "1"});
    auto out = end_attempt(attempt_outcome::interrupted);
    std::size_t sends = all<send_attempt>(out).size();
    std::size_t aborted = 0;
    for (int n = 0; n < 700; ++n)
    {
        out = all<send_attempt>(out).empty()
                  ? advance(10ms)
                  : end_attempt(attempt_outcome::refused, 503);
        sends += all<send_attempt>(out).size();
        aborted += all<abort_stream>(out).size();
        if (n < 500)
        {
            EXPECT_EQ(aborted, 0U);
        }
    }
    EXPECT_EQ(aborted, 1U);
    EXPECT_EQ(gateway.active_requests(), 0U);
    // Each refusal uses up the retry budget of all requests.
    EXPECT_LE(sends, 12U);
}

// A slow stream is sound as long as each pause is shorter than the limit.
TEST_F(gateway_streams, are_not_moved_while_events_arrive_slowly)
{
    arrive("/resume/x", 60s);
    feed(stream_started{last_request, 1, {}, "0"});
    for (int n = 1; n < 40; ++n)
    {
        EXPECT_TRUE(all<send_attempt>(advance(900ms)).empty());
        feed(stream_advanced{last_request, 1, std::to_string(n)});
    }
}

} // namespace
} // namespace buckthornvale::decision::gateway
