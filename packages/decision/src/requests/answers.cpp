#include <buckthornvale/decision/requests/answers.hpp>

namespace buckthornvale::decision::requests
{

namespace
{

std::vector<stage_trace> trace_of(request_state const& request)
{
    std::vector<stage_trace> trace;
    for (stage_index n = 0; n < request.stages.size(); ++n)
    {
        auto const& stage = request.stages[n];
        if (stage.phase != stage_phase::done)
            continue;
        trace.push_back({request.graph->at(n).name, stage.runner, stage.took,
                         stage.attempt_count});
    }
    return trace;
}

// Errors that say "nothing ran" in their text are replaced once something may
// have run.
error reason_after_start(error reason)
{
    switch (reason.kind)
    {
    case error_kind::no_runner:
    case error_kind::isolated:
    case error_kind::overloaded:
    case error_kind::deadline_unreachable:
        return {error_kind::runner_failed,
                std::string(traits_of(reason.kind).message)};
    default:
        return reason;
    }
}

error reason_before_start(error reason)
{
    if (reason.kind == error_kind::deadline_exceeded)
        return {error_kind::deadline_unreachable, {}};
    return reason;
}

} // namespace

answer not_run_answer(error reason, duration retry_after)
{
    answer body;
    body.result_kind = outcome::not_run;
    body.failure = std::move(reason);
    body.retry_after = retry_after;
    return body;
}

answer failed_answer(request_state const& request, error reason,
                     duration retry_after)
{
    if (!request.may_have_run())
        return not_run_answer(reason_before_start(std::move(reason)),
                              retry_after);
    answer body;
    body.result_kind = outcome::unknown;
    body.failure = reason_after_start(std::move(reason));
    body.safe_to_repeat = !request.non_repeatable_may_have_run();
    body.retry_after = retry_after;
    add_outcome_key(body, request);
    body.stages = trace_of(request);
    return body;
}

answer completed_answer(request_state const& request)
{
    answer body;
    body.result_kind = outcome::completed;
    body.result = request.stages[request.graph->last_stage()].output;
    body.safe_to_repeat = !request.non_repeatable_may_have_run();
    add_outcome_key(body, request);
    body.stages = trace_of(request);
    return body;
}

void add_outcome_key(answer& body, request_state const& request)
{
    body.outcome_key = request.call.idempotency_key;
    body.outcome_issued_at = request.call.issued_at;
}

answer unknown_outcome_answer(error reason, duration retry_after)
{
    answer body;
    body.result_kind = outcome::unknown;
    body.failure = std::move(reason);
    body.safe_to_repeat = false;
    body.retry_after = retry_after;
    return body;
}

} // namespace buckthornvale::decision::requests
