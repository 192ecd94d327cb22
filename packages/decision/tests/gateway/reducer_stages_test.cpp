#include "reducer_fixture.hpp"

#include <algorithm>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

class gateway_stages : public reducer_fixture
{
protected:
    effects end_call(call_stage const& call, piece_outcome outcome)
    {
        stage_call_ended in;
        in.call = call.call;
        in.outcome = call_outcome::answered;
        for (auto const& it : call.pieces)
            in.pieces.push_back(
                {outcome, false,
                 outcome == piece_outcome::done
                     ? call.address + "/h" + std::to_string(it.request)
                     : std::string()});
        return feed(in);
    }

    // Makes vm-1 the scheduler of the service.
    void use_other_owner()
    {
        members_listed in;
        for (auto const* name : {"vm-0", "vm-1"})
        {
            member it;
            it.name = name;
            it.address = "10.0.1.1:7740";
            it.capacity = std::string(name) == "vm-1" ? 1 : 0.001;
            in.members.push_back(it);
        }
        feed(in);
    }

    // Names of the fields of the first line with this text.
    static std::vector<std::string> field_names(effects const& from,
                                                std::string_view what)
    {
        std::vector<std::string> out;
        for (auto const& line : all<log_decision>(from))
            if (line.what == what && out.empty())
                for (auto const& it : line.fields)
                    out.emplace_back(it.name);
        return out;
    }

    static std::vector<piece> submitted(effects const& from)
    {
        std::vector<piece> out;
        for (auto const& it : all<send_to_peer>(from))
            if (auto const* message = std::get_if<submit_pieces>(&it.message))
                out.insert(out.end(), message->pieces.begin(),
                           message->pieces.end());
        return out;
    }
};

TEST_F(gateway_stages, run_before_the_request_and_pass_their_results)
{
    auto const call = only<call_stage>(arrive("/staged/x", 6s));
    ASSERT_EQ(call.pieces.size(), 1U);
    now += 205ms;
    auto const sent = only<send_attempt>(end_call(call, piece_outcome::done));
    EXPECT_EQ(sent.inputs, call.address + "/h1");
    // The first event shows that the runner has read its inputs.
    auto const out = feed(stream_started{last_request, 1, {}, {}});
    EXPECT_EQ(only<free_results>(out).handles.size(), 1U);
}

// A request ran with what could be read of its route.
TEST_F(gateway_stages, that_cannot_run_as_written_refuse_their_requests)
{
    auto manifest = make_manifest(2);
    route odd;
    odd.name = "odd";
    odd.host = "h";
    odd.path_prefix = "/staged/odd/";
    odd.services = {{"engine", 1}};
    odd.stages = {{"stage", {1}, 10}, {"stage", {0}, 10}};
    manifest->add_route(odd);
    feed(manifest_changed{manifest});
    auto const out = arrive("/staged/odd/x", 6s);
    EXPECT_EQ(only<refuse_request>(out).status, 503);
    EXPECT_EQ(only<refuse_request>(out).retry_after, 1s);
    EXPECT_EQ(all<call_stage>(out).size(), 0U);
    EXPECT_EQ(only<call_stage>(arrive("/staged/x", 6s)).pieces.size(), 1U);
}

// Stages that the request does not count got one piece each, and counts for
// which there is no stage were ignored.
TEST_F(gateway_stages, must_be_those_that_the_request_counts)
{
    for (auto const& counts :
         {std::vector<std::uint32_t>{2, 1}, std::vector<std::uint32_t>{1, 0}})
    {
        request_arrived in;
        in.request = ++last_request;
        in.traits.id = "counts-" + std::to_string(last_request);
        in.traits.host = "h";
        in.traits.path = "/staged/x";
        in.traits.key = "key";
        in.traits.time_left = 6s;
        in.traits.pieces = counts;
        auto const out = feed(in);
        EXPECT_EQ(only<refuse_request>(out).status, 503);
        EXPECT_EQ(only<refuse_request>(out).retry_after, 100ms);
        EXPECT_EQ(all<call_stage>(out).size(), 0U);
    }
}

// A silent stream was moved although its stages, whose results were released,
// could not be computed again in time; then it was aborted. On a test day, one
// was cancelled with 95 ms left.
TEST_F(gateway_stages, of_a_silent_stream_must_be_possible_again_in_time)
{
    for (auto const time_left : {2500ms, 6000ms})
    {
        auto const call =
            only<call_stage>(arrive("/resume-staged/x", time_left));
        now += 205ms;
        end_call(call, piece_outcome::done);
        feed(stream_started{last_request, 1, {}, "1"});
        auto const out = advance(2200ms);
        EXPECT_EQ(all<cancel_attempt>(out).size(), time_left > 3s ? 1U : 0U);
        EXPECT_TRUE(all<abort_stream>(out).empty());
        feed(caller_left{last_request});
    }
}

// If a stage fails, the request is answered at once, with a status that says
// that it was not executed: only its stages ran.
TEST_F(gateway_stages, refuse_the_request_when_a_piece_is_late)
{
    auto const call = only<call_stage>(arrive("/staged/x", 6s));
    auto const out = end_call(call, piece_outcome::late);
    EXPECT_EQ(only<refuse_request>(out).status, 503);
}

// Results may be lost before the request reads them. Its stages then run once
// more.
TEST_F(gateway_stages, restart_once_when_results_are_gone)
{
    auto const call = only<call_stage>(arrive("/staged/x", 6s));
    end_call(call, piece_outcome::done);
    attempt_ended gone;
    gone.request = last_request;
    gone.attempt = 1;
    gone.transport = transport_end::complete;
    gone.identified = true;
    gone.not_executed = true;
    gone.status = 409;
    auto const again = only<call_stage>(feed(gone));
    EXPECT_EQ(again.pieces.front().round, 1U);
}

// A result that arrives after its request has ended must not occupy the
// runner's memory.
TEST_F(gateway_stages, free_a_result_without_a_request)
{
    auto const call = only<call_stage>(arrive("/staged/x", 6s));
    feed(caller_left{last_request});
    auto const out = end_call(call, piece_outcome::done);
    EXPECT_TRUE(all<send_attempt>(out).empty());
    EXPECT_EQ(all<free_results>(out).size(), 1U);
}

TEST_F(gateway_stages, are_scheduled_by_one_vm_of_the_fleet)
{
    use_other_owner();
    auto const pieces = submitted(arrive("/staged/x", 6s));
    ASSERT_EQ(pieces.size(), 1U);
    return_results results;
    piece_result result;
    result.service = "stage";
    result.request = last_request;
    result.outcome = piece_outcome::done;
    result.handle = "10.0.0.1:80/h";
    results.results.push_back(result);
    auto const out = feed(peer_sent{"vm-1", {results}});
    EXPECT_EQ(only<send_attempt>(out).inputs, "10.0.0.1:80/h");
}

// Pieces must not be lost with the VM that scheduled them.
TEST_F(gateway_stages, run_locally_when_the_scheduler_vm_is_unreachable)
{
    use_other_owner();
    arrive("/staged/x", 6s);
    auto const out = feed(peer_unreachable{"vm-1", {}});
    EXPECT_EQ(all<call_stage>(out).size(), 1U);
}

TEST_F(gateway_stages, are_resubmitted_when_the_scheduler_vm_restarted)
{
    use_other_owner();
    feed(peer_answered{"vm-1", 7});
    arrive("/staged/x", 6s);
    EXPECT_EQ(submitted(feed(peer_answered{"vm-1", 8})).size(), 1U);
}

// A scheduler VM may hang while its connections stay open.
TEST_F(gateway_stages, probe_a_silent_scheduler_vm)
{
    use_other_owner();
    arrive("/staged/x", 6s);
    EXPECT_FALSE(all<send_to_peer>(advance(400ms)).empty());
}

backlog backlog_of(std::array<duration, wait_profile::size> waits)
{
    backlog out;
    out.service = "stage";
    out.waits.classes = {{{}, {waits}, waits.back()}};
    out.average_call_time = 300ms;
    out.result_memory_share = 0.9;
    return out;
}

// Under overload, requests that would be late are refused at once with a retry
// delay, instead of waiting until their deadline for stages that cannot serve
// them.
TEST_F(gateway_stages, refuse_requests_that_would_be_late_under_load)
{
    use_other_owner();
    return_results results;
    results.backlogs = {backlog_of({2s, 2s, 2s, 2s, 2s, 2s})};
    feed(peer_sent{"vm-1", {results}});
    auto const out = arrive("/staged/x", 6s);
    auto const refused = only<refuse_request>(out);
    EXPECT_EQ(refused.status, 503);
    ASSERT_TRUE(refused.retry_after);
    EXPECT_GE(*refused.retry_after, 500ms);
    EXPECT_TRUE(submitted(out).empty());
    // The log contains the input of the decision.
    EXPECT_EQ(field_names(out, "stages_overloaded"),
              (std::vector<std::string>{"route", "rank", "reused_connection",
                                        "left_ms", "due_in_ms", "expected_ms",
                                        "queue_wait_ms", "answer_ms"}));
    EXPECT_EQ(field_names(out, "request_refused"),
              (std::vector<std::string>{"reason", "route", "rank", "status",
                                        "runner", "sends", "after_ms"}));
    // The backlog report expires: without a new one, requests are admitted
    // again.
    now += 2s;
    EXPECT_EQ(submitted(arrive("/staged/y", 6s)).size(), 1U);
}

// The length of a queue of less urgent pieces must not cause urgent requests to
// be refused, because the urgent ones are served first.
TEST_F(gateway_stages, admit_urgent_requests_ahead_of_less_urgent_ones)
{
    use_other_owner();
    return_results results;
    results.backlogs = {backlog_of({0s, 20ms, 50ms, 100ms, 3s, 4s})};
    feed(peer_sent{"vm-1", {results}});
    auto const pieces = submitted(arrive("/staged/x", 6s));
    ASSERT_EQ(pieces.size(), 1U);
    EXPECT_LE(pieces[0].due_in, 1s);
}

// A VM that is short of processor time handles results late. Its callers have
// left then, and a runner must not work for them.
TEST_F(gateway_stages, do_not_send_a_request_after_its_deadline)
{
    auto const call = only<call_stage>(arrive("/staged/x", 6s));
    now += 6100ms;
    auto const out = end_call(call, piece_outcome::done);
    EXPECT_TRUE(all<send_attempt>(out).empty());
    EXPECT_EQ(only<refuse_request>(out).status, 503);
}

// A caller that retries has already missed its target. Its request must not
// take the slot of one that can still be on time.
TEST_F(gateway_stages, defer_requests_that_will_be_late)
{
    use_other_owner();
    for (auto const first_attempt : {6000ms, 5800ms})
        arrive("/staged/x", first_attempt, true);
    auto const pieces = submitted(arrive("/staged/y", 4s));
    ASSERT_EQ(pieces.size(), 1U);
    EXPECT_GE(pieces[0].due_in, 3s);
    EXPECT_EQ(pieces[0].due_in, pieces[0].latest_start_in);
}

// Callers differ in patience. An impatient one has the whole target, or
// requests with a short target and a long deadline are refused as soon as
// pieces wait.
TEST_F(gateway_stages, give_impatient_callers_the_whole_target)
{
    use_other_owner();
    for (auto const first_attempt : {6000ms, 5200ms})
        arrive("/staged/x", first_attempt, true);
    return_results results;
    results.backlogs = {backlog_of({350ms, 350ms, 350ms, 350ms, 350ms, 350ms})};
    feed(peer_sent{"vm-1", {results}});
    auto const pieces = submitted(arrive("/staged/y", 5300ms));
    ASSERT_EQ(pieces.size(), 1U);
    EXPECT_GT(pieces[0].due_in, 500ms);
    EXPECT_LT(pieces[0].due_in, 1s);
}

// The forecast has to include the load of the model runners. Otherwise requests
// that were counted as on time arrive late and take the place of others.
TEST_F(gateway_stages, include_the_answer_time_of_model_runners_in_the_forecast)
{
    auto const arrive_while_pieces_wait = [&]
    {
        return_results results;
        results.backlogs = {
            backlog_of({350ms, 350ms, 350ms, 350ms, 350ms, 350ms})};
        feed(peer_sent{"vm-1", {results}});
        return arrive("/staged/x", 6s);
    };
    use_other_owner();
    EXPECT_EQ(submitted(arrive_while_pieces_wait()).size(), 1U);
    for (int n = 0; n < 100; ++n)
    {
        arrive("/stream/x", 6s);
        now += 800ms;
        feed(stream_started{last_request, 1, {}, {}});
    }
    EXPECT_EQ(only<refuse_request>(arrive_while_pieces_wait()).status, 503);
}

TEST_F(gateway_stages, serve_pieces_of_other_vms)
{
    use_other_owner();
    submit_pieces message;
    piece work;
    work.request = 77;
    work.service = "stage";
    work.due_in = 1s;
    work.time_left = 5s;
    message.pieces.push_back(work);
    auto const call = only<call_stage>(feed(peer_sent{"vm-1", {message}}));
    auto const out = end_call(call, piece_outcome::done);
    auto const answer = only<send_to_peer>(out);
    EXPECT_EQ(answer.member, "vm-1");
    auto const results = std::get<return_results>(answer.message);
    ASSERT_EQ(results.results.size(), 1U);
    EXPECT_EQ(results.results[0].request, 77U);
    EXPECT_EQ(results.backlogs.size(), 1U);
}

// A scheduler that was paused went on with pieces that the other VMs had given
// to its successor meanwhile, so that they were made twice.
TEST_F(gateway_stages, of_other_vms_are_dropped_after_a_pause)
{
    submit_pieces message;
    for (request_ref n = 1; n <= 5; ++n)
    {
        piece work;
        work.request = n;
        work.request_id = "other-" + std::to_string(n);
        work.service = "stage";
        work.key = "k";
        work.result_bytes = 1000;
        work.due_in = 9s;
        work.latest_start_in = 9s;
        work.time_left = 10s;
        message.pieces.push_back(work);
    }
    feed(members_listed{{{"vm-0", "10.0.1.1:7740", "north", 1, 1},
                         {"vm-1", "10.0.1.2:7740", "north", 1, 1}}});
    // No runner takes the pieces before the pause.
    for (auto const* id : {"stage-1", "stage-2"})
        feed(runner_notified{id, false, 1s});
    EXPECT_TRUE(all<call_stage>(feed(peer_sent{"vm-1", {message}})).empty());
    now += 1600ms;
    EXPECT_TRUE(all<call_stage>(feed(timer_fired{now})).empty());
    // Sent before the pause and read after it.
    feed(peer_sent{"vm-1", {message}});
    EXPECT_TRUE(all<call_stage>(advance(100ms)).empty());
    EXPECT_EQ(all<call_stage>(feed(peer_sent{"vm-1", {message}})).size(), 1U);
}

// The connection that carried a late copy of an answer stayed in use if the
// runner's registration had ended by then, because its address was not known.
TEST_F(gateway_stages, close_connections_to_a_runner_that_is_no_longer_listed)
{
    auto const first = only<call_stage>(arrive("/staged/x", 5s));
    end_call(first, piece_outcome::done);
    auto const second = only<call_stage>(arrive("/staged/y", 5s));
    auto leaving = make_runner(second.runner_id, "stage");
    leaving.draining = true;
    feed(runner_changed{leaving});
    feed(runner_removed{second.runner_id});
    stage_call_ended copy;
    copy.call = second.call;
    copy.outcome = call_outcome::answered;
    copy.repeated = true;
    copy.pieces.push_back(
        {piece_outcome::done, false,
         first.address + "/h" + std::to_string(first.pieces.front().request)});
    EXPECT_EQ(only<close_idle_connections>(feed(copy)).address, second.address);
}

// Calls of stages exceeded the limits of their runners.
TEST_F(gateway_stages, are_called_as_often_as_their_runners_allow)
{
    for (auto const* id : {"stage-1", "stage-2"})
        feed(runner_notified{
            id, false, {}, {named_rate_limit::kind::limit, 0.5}});
    advance(2s);
    std::size_t calls = 0;
    for (int n = 0; n < 40; ++n)
    {
        for (auto const& it : all<call_stage>(arrive("/staged/x", 5s)))
        {
            ++calls;
            stage_call_ended ended;
            ended.call = it.call;
            feed(ended);
        }
        calls += all<call_stage>(advance(100ms)).size();
    }
    EXPECT_LE(calls, 6U);
}

} // namespace
} // namespace buckthornvale::decision::gateway
