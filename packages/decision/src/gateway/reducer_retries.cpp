#include "active_request.hpp"
#include "milliseconds_text.hpp"
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Maximum number of sends of a request, one after the other, that may reach a
//! runner.
constexpr std::uint32_t max_sends = 4;

//! Minimum time left to start another attempt.
constexpr duration min_time_for_retry = 30ms;

//! Bounds of the wait until a request that no runner took over is offered to
//! them again. The wait doubles each time.
constexpr duration min_planned_retry_delay = 200ms;
constexpr duration max_planned_retry_delay = 1600ms;

//! Maximum number of these waits. Each uses up the retry budget of the service.
constexpr std::uint32_t max_planned_retries = 6;

//! Status of an engine whose inputs, the results of the stages, no longer
//! exist.
constexpr int status_inputs_gone = 409;

} // namespace

bool reducer::retry(active_request& request, bool may_have_run, time_point now)
{
    if (request.deadline - now < min_time_for_retry)
        return false;
    bool const repeatable = request.matched_route->repeatable();
    if (may_have_run && !repeatable)
        return false;
    if (request.possible_executions >= request.matched_route->max_attempts ||
        request.sends >= max_sends || request.attempt >= 2 * max_sends)
        return false;
    if (is_blocked(request) || choose_runner(request, now).runner == nullptr)
        return false;
    if (request.sends > 0 &&
        !retry_budget_.try_consume(request.service, members_.count(), now))
    {
        log("retry_over_budget", &request, {{"service", request.service}});
        return false;
    }
    auto const attempt = request.attempt;
    auto const ref = request.ref;
    start_attempt(request, now);
    // The request may have ended because no runner was left.
    auto const found = requests_.find(ref);
    return found == requests_.end() || found->second->attempt > attempt;
}

bool reducer::retry_refused(active_request& request, int status, time_point now)
{
    bool const inputs_gone =
        status == status_inputs_gone && !request.pipeline.empty();
    if (inputs_gone && restart_stages(request, now))
        return true;
    // The results that a stream has used were released: no runner can go on
    // with it unless they are computed again.
    if (inputs_gone && request.streaming)
        return may_restart_stages(request) && plan_retry(request, now);
    return retry(request, false, now) || plan_retry(request, now);
}

bool reducer::plan_retry(active_request& request, time_point now)
{
    if (request.retry_at)
        return true;
    auto const& route = *request.matched_route;
    if (!route.repeatable() || request.possible_executions == 0 ||
        request.possible_executions >= route.max_attempts ||
        request.planned_retries >= max_planned_retries || is_blocked(request))
        return false;
    // A stream that has begun has no other answer to get at once.
    auto const quiet_until = runners_.quiet_until(request.service, now);
    if (!request.streaming && quiet_until && *quiet_until >= request.deadline)
        return false;
    request.retry_delay =
        std::clamp(request.retry_delay * 2, min_planned_retry_delay,
                   max_planned_retry_delay);
    auto const time_left = request.deadline - now - min_time_for_retry;
    if (time_left < min_planned_retry_delay)
        return false;
    request.retry_delay = std::min(request.retry_delay, time_left);
    request.retry_at = now + request.retry_delay;
    ++request.planned_retries;
    log("retry_delayed", &request,
        {{"delay_ms", milliseconds_text(request.retry_delay)},
         {"sends", std::to_string(request.sends)}});
    return true;
}

void reducer::run_planned_retry(active_request& request, time_point now)
{
    request.retry_at.reset();
    request.tried_runners.clear();
    bool const possible =
        choose_runner(request, now).runner != nullptr &&
        retry_budget_.try_consume(request.service, members_.count(), now);
    if (possible)
        start_attempt(request, now);
    else if (!plan_retry(request, now))
        fail_request(request, refusal::runners_full, now);
}

} // namespace buckthornvale::decision::gateway
