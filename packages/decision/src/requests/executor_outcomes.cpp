// What the executor does with the tokens, the ends and the cancellations of
// attempts; executor.cpp starts them.

#include <buckthornvale/decision/requests/executor.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace buckthornvale::decision::requests
{

namespace
{

constexpr double median_probability = 0.5;

// When a call ended with the answer of another attempt: how long its own answer
// may still arrive on another call.
constexpr duration crossed_answer_wait = std::chrono::milliseconds(500);

routing::attempt_result routing_result(attempt_outcome value)
{
    switch (value)
    {
    case attempt_outcome::completed:
        return routing::attempt_result::completed;
    case attempt_outcome::not_started:
        return routing::attempt_result::not_started;
    case attempt_outcome::timed_out:
        return routing::attempt_result::timed_out;
    case attempt_outcome::cancelled:
        return routing::attempt_result::cancelled;
    case attempt_outcome::rejected:
    case attempt_outcome::connection_lost:
        break;
    }
    return routing::attempt_result::failed;
}

template <class Container, class Value>
void erase_value(Container& values, Value const& value)
{
    values.erase(std::remove(values.begin(), values.end(), value),
                 values.end());
}

} // namespace

void executor::on_token(request_state& request, attempt_token const& event,
                        time_point now, effect_list& out,
                        std::vector<stage_result>& results)
{
    auto const* const attempt = attempts_.find(event.answered_attempt);
    if (attempt == nullptr || attempt->request != request.id)
        return;
    auto const owner = *attempt;
    auto& stage = request.stages[owner.stage];
    // Only the first attempt in flight feeds the stream; tokens of a hedge are
    // ignored.
    if (stage.attempts.empty() || stage.attempts.front() != owner.id)
        return;
    switch (stage.tokens.add(event.index, event.text))
    {
    case token_verdict::next:
        if (request.call.stream && !request.answered &&
            owner.stage == request.graph->last_stage())
        {
            out.push_back(send_token{request.id, event.index, event.text});
        }
        return;
    case token_verdict::duplicate:
        return;
    case token_verdict::gap:
        break;
    }
    out.push_back(event_counted{counter::stream_broken, 1.});
    out.push_back(cancel_attempt{owner.id, owner.runner});
    attempt_ended broken;
    broken.call = owner.id;
    broken.answered_attempt = owner.id;
    broken.result = attempt_outcome::connection_lost;
    broken.detail = "a token of the stream is missing";
    broken.took = now - owner.started;
    fail(request, owner, broken, now, out, results);
}

void executor::on_attempt_ended(request_table& requests,
                                attempt_ended const& event, time_point now,
                                effect_list& out,
                                std::vector<stage_result>& results)
{
    auto* const call = attempts_.find(event.call);
    bool const answers_own_call = event.answered_attempt == event.call;
    if (call != nullptr &&
        (answers_own_call || event.result != attempt_outcome::completed))
    {
        auto const attempt = *call;
        auto const it = requests.find(attempt.request);
        if (it == requests.end())
            return;
        if (event.result == attempt_outcome::completed)
            complete(it->second, attempt, event, now, out, results);
        else
            fail(it->second, attempt, event, now, out, results);
        return;
    }
    if (event.result != attempt_outcome::completed || answers_own_call)
    {
        out.push_back(event_counted{counter::answer_late, 1.});
        return;
    }
    out.push_back(event_counted{counter::answer_crossed, 1.});
    if (call != nullptr)
    {
        call->call_open = false;
        call->crossed_answer_deadline = now + crossed_answer_wait;
    }
    auto const* const owner = attempts_.find(event.answered_attempt);
    if (owner == nullptr)
    {
        out.push_back(event_counted{counter::answer_late, 1.});
        return;
    }
    auto const attempt = *owner;
    auto const it = requests.find(attempt.request);
    if (it != requests.end())
        complete(it->second, attempt, event, now, out, results);
}

void executor::complete(request_state& request, attempt_state const& attempt,
                        attempt_ended const& event, time_point now,
                        effect_list& out, std::vector<stage_result>& results)
{
    auto const& settings = request.graph->at(attempt.stage);
    auto& stage = request.stages[attempt.stage];
    bool const feeds_stream =
        !stage.attempts.empty() && stage.attempts.front() == attempt.id;
    if (settings.stream &&
        !(feeds_stream && stage.tokens.is_complete(event.token_count)))
    {
        auto broken = event;
        broken.result = attempt_outcome::connection_lost;
        broken.detail = "the stream ended before its last token";
        out.push_back(event_counted{counter::stream_broken, 1.});
        fail(request, attempt, broken, now, out, results);
        return;
    }
    duration const took = now - attempt.started;
    close_attempt(request, attempt, routing::attempt_result::completed, took,
                  now);
    dependencies_.deadline_split.record(
        request.graph->path_from(attempt.stage).front().key, took);
    out.push_back(stage_counted{request.call.pipeline, settings.name,
                                request.call.work_rank, took, false});
    while (!stage.attempts.empty())
        abandon_attempt(request, stage.attempts.back(), now, out);

    stage.output = std::make_shared<stage_output const>(
        settings.stream ? stage_output{stage.tokens.text(), true}
                        : stage_output{event.output, false});
    stage.phase = stage_phase::done;
    stage.took = now - stage.first_started;
    if (auto const* const runner = dependencies_.runners.find(attempt.runner))
        stage.runner = runner->name;
    results.push_back({request.id, attempt.stage, true, {}, took});
}

void executor::fail(request_state& request, attempt_state const& attempt,
                    attempt_ended const& event, time_point now,
                    effect_list& out, std::vector<stage_result>& results)
{
    auto const n = attempt.stage;
    auto& stage = request.stages[n];
    auto const& settings = request.graph->at(n);
    // A refused connection says nothing about the content, which was not
    // executed.
    if (event.runner_crashed && event.result != attempt_outcome::not_started)
    {
        dependencies_.isolation.runner_crashed(attempt.runner, now);
        out.push_back(event_counted{counter::runner_crash_seen, 1.});
    }
    close_attempt(request, attempt, routing_result(event.result), event.took,
                  now);
    if (event.result == attempt_outcome::not_started)
        --stage.possible_runs;
    else
        out.push_back(stage_counted{request.call.pipeline, settings.name,
                                    request.call.work_rank, event.took, true});
    if (!stage.attempts.empty())
        return;
    stage.phase = stage_phase::waiting;
    if (request.answered)
    {
        stage.phase = stage_phase::unneeded;
        results.push_back({request.id, n, false, error_of(event), {}});
        return;
    }
    if (auto refusal = retry_refusal(request, n, event, now))
    {
        results.push_back({request.id, n, false, std::move(refusal), {}});
        return;
    }
    if (!resumes_streams(attempt.runner))
        stage.tokens = {};
    if (stage.tokens.next_index() > 0)
        out.push_back(event_counted{counter::stream_resumed, 1.});
    out.push_back(event_counted{counter::attempt_retried, 1.});
    start(request, n, now, out);
}

error executor::error_of(attempt_ended const& event) const
{
    switch (event.result)
    {
    case attempt_outcome::not_started:
        return {error_kind::no_runner, event.detail};
    case attempt_outcome::timed_out:
        return {error_kind::deadline_exceeded, event.detail};
    default:
        return {error_kind::runner_failed, event.detail};
    }
}

bool executor::resumes_streams(runner_id id) const
{
    auto const* const runner = dependencies_.runners.find(id);
    return runner != nullptr && runner->resumes_streams;
}

error executor::retry_refusal(request_state const& request, stage_index n,
                              attempt_ended const& event, time_point now)
{
    auto const& stage = request.stages[n];
    auto const& settings = request.graph->at(n);
    if (dependencies_.isolation.check(request.content, now) ==
        isolation::isolation_decision::refused)
    {
        return {error_kind::isolated, {}};
    }
    // Tokens that were sent to the caller cannot be withdrawn, so the stream
    // can only resume after the last of them.
    if (request.call.stream && stage.tokens.next_index() > 0 &&
        !resumes_streams(stage.tried_runners.back()))
    {
        return {error_kind::stream_broken, event.detail};
    }
    retry::failed_attempt failed;
    failed.repeatable = settings.repeatable;
    failed.may_have_run = event.result != attempt_outcome::not_started;
    failed.attempts = stage.attempt_count;
    failed.deadline = request.deadline;
    failed.expected = dependencies_.deadline_split.quantile(
        request.graph->path_from(n).front(), median_probability);
    auto const verdict =
        retry::decide_retry(failed, dependencies_.retry_budget, now);
    return verdict == retry::retry_verdict::retry ? error{} : error_of(event);
}

void executor::close_attempt(request_state& request,
                             attempt_state const& attempt,
                             routing::attempt_result result, duration took,
                             time_point now)
{
    dependencies_.router.finished(attempt.id, result, took, now);
    if (attempt.runner_reserved)
        dependencies_.router.set_reserved(attempt.runner, false, now);
    if (result == routing::attempt_result::completed)
        dependencies_.isolation.attempt_finished(attempt.runner,
                                                 request.content, now);
    else
        dependencies_.isolation.attempt_abandoned(attempt.runner,
                                                  request.content, now);
    erase_value(request.stages[attempt.stage].attempts, attempt.id);
    attempts_.remove(attempt.id);
}

void executor::abandon_attempt(request_state& request, attempt_id id,
                               time_point now, effect_list& out)
{
    auto const* const found = attempts_.find(id);
    if (found == nullptr)
        return;
    auto const attempt = *found;
    out.push_back(cancel_attempt{attempt.id, attempt.runner});
    out.push_back(stage_counted{
        request.call.pipeline, request.graph->at(attempt.stage).name,
        request.call.work_rank, now - attempt.started, true});
    close_attempt(request, attempt, routing::attempt_result::cancelled,
                  now - attempt.started, now);
}

void executor::cancel(request_state& request, bool keep_non_repeatable,
                      time_point now, effect_list& out)
{
    for (stage_index n = 0; n < request.stages.size(); ++n)
    {
        auto& stage = request.stages[n];
        bool const non_repeatable = !request.graph->at(n).repeatable;
        if (non_repeatable && keep_non_repeatable && !stage.attempts.empty())
            continue;
        while (!stage.attempts.empty())
            abandon_attempt(request, stage.attempts.back(), now, out);
        if (stage.phase != stage_phase::done)
            stage.phase = stage_phase::unneeded;
    }
}

} // namespace buckthornvale::decision::requests
