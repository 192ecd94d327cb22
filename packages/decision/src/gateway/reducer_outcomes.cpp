#include "active_request.hpp"
#include "milliseconds_text.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! An idempotent request without an answer is sent to another runner after this
//! multiple of the runner's average time, within these bounds.
constexpr double hedge_factor = 6;
constexpr duration min_hedge_delay = 120ms;
constexpr duration max_hedge_delay = 600ms;

//! A resumable stream is resumed on another runner after a pause of this
//! multiple of the maximum pause of its route.
constexpr int stall_factor = 3;
constexpr duration min_stall_time = 1s;

//! Bounds of the retry delay that is returned to refused callers.
constexpr duration min_retry_after = 100ms;
constexpr duration max_retry_after = 2s;

//! Statuses of answers of the gateway itself.
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

} // namespace

std::optional<duration> reducer::retry_after(active_request const& it,
                                             refusal reason,
                                             time_point now) const
{
    if (traits_of(reason).status != status_unavailable)
        return std::nullopt;
    duration wait = min_retry_after;
    if (reason == refusal::cannot_finish_in_time ||
        reason == refusal::stage_failed)
        wait = forecast_stages(it, now).on_schedule;
    // Jitter prevents refused callers from returning in one burst.
    constexpr std::uint64_t steps = 1000;
    double const spread =
        0.75 + 0.5 * double(stable_hash(it.traits.id) % steps) / steps;
    wait = from_seconds(to_seconds(wait) * spread);
    return std::clamp(wait, min_retry_after, max_retry_after);
}

void reducer::fail_request(active_request& it, refusal reason, time_point now)
{
    auto const& traits = traits_of(reason);
    int const status =
        states_not_run(traits.status) && it.possible_executions > 0
            ? status_bad_gateway
            : traits.status;
    log(it.streaming ? "stream_aborted" : "request_refused", &it,
        {{"reason", traits.name},
         {"status", std::to_string(status)},
         {"runner", it.runner_id},
         {"sends", std::to_string(it.sends)},
         {"after_ms", milliseconds_text(now - it.arrived_at)}});
    if (it.in_flight)
        out_.push_back(cancel_attempt{it.ref, it.attempt});
    if (it.streaming && !it.caller_gone)
        out_.push_back(abort_stream{it.ref, reason});
    else if (!it.caller_gone)
    {
        refuse_request answer{it.ref, reason, status, {}};
        if (status == status_unavailable)
            answer.retry_after = retry_after(it, reason, now);
        out_.push_back(answer);
    }
    finish_request(it, now);
}

void reducer::finish_request(active_request& it, time_point now)
{
    if (it.in_flight)
        release_runner(it);
    release_stage_results(it.pipeline.take_all_results(), now);
    std::set<std::string> owners;
    for (auto const& owner : it.owners)
        if (it.pipeline.awaits_results(owner.first))
            owners.insert(owner.second);
    auto const ref = it.ref;
    for (auto const& name : owners)
        send_message(name, withdraw_pieces{{ref}}, now);
    requests_.erase(ref);
}

void reducer::on(stream_started const& in, time_point now)
{
    auto* it = find_attempt(in.request, in.attempt);
    if (it == nullptr)
        return;
    if (!it->streaming)
        record_answer_time(it->service, now - it->sent_at);
    it->streaming = true;
    it->last_progress = now;
    if (!in.last_event_id.empty())
        it->last_event_id = in.last_event_id;
    if (auto* state = runners_.find(it->runner_id))
    {
        record_load(*state, in.load, now);
        runners_.record(*state, runner_signal::served, now - it->sent_at, now);
    }
    // A runner fetches its inputs before it sends the first event.
    release_stage_results(it->pipeline.take_all_results(), now);
}

void reducer::on(stream_advanced const& in, time_point now)
{
    auto* it = find_attempt(in.request, in.attempt);
    if (it == nullptr)
        return;
    it->last_progress = now;
    if (!in.last_event_id.empty())
        it->last_event_id = in.last_event_id;
}

void reducer::check_timeouts(active_request& it, time_point now)
{
    if (it.deadline <= now)
    {
        if (it.in_flight)
        {
            if (auto* state = runners_.find(it.runner_id);
                state != nullptr && !it.streaming)
                runners_.record(*state, runner_signal::silent, now - it.sent_at,
                                now);
            if (it.caller_gone)
            {
                out_.push_back(cancel_attempt{it.ref, it.attempt});
                finish_request(it, now);
                return;
            }
            ++it.possible_executions;
        }
        fail_request(it,
                     it.possible_executions > 0
                         ? refusal::no_answer_in_time
                         : refusal::cannot_finish_in_time,
                     now);
        return;
    }
    if (!it.in_flight || it.caller_gone || !it.matched_route->repeatable() ||
        it.possible_executions + 1 >= it.matched_route->max_attempts)
        return;
    duration limit{};
    auto* state = runners_.find(it.runner_id);
    if (it.matched_route->kind == request_kind::stream)
        limit = std::max<duration>(it.matched_route->gap_target * stall_factor,
                                   min_stall_time);
    else
        limit = std::clamp<duration>(
            from_seconds(hedge_factor *
                         (state != nullptr ? state->latency_s : 0)),
            min_hedge_delay, max_hedge_delay);
    if (it.matched_route->kind == request_kind::stream && !it.streaming)
        limit = std::max(limit, it.matched_route->target_latency);
    if (now - it.last_progress < limit)
        return;
    // No retry is left in the budget: the request stays on its runner, and its
    // silence is measured from now on.
    if (!retry_budget_.try_consume(it.service, members_.count(), now))
    {
        it.last_progress = now;
        return;
    }
    log("runner_silent", &it,
        {{"runner", it.runner_id},
         {"silent_ms", milliseconds_text(now - it.last_progress)}});
    out_.push_back(cancel_attempt{it.ref, it.attempt});
    if (state != nullptr)
        runners_.record(*state, runner_signal::silent, now - it.sent_at, now);
    release_runner(it);
    ++it.sends;
    ++it.possible_executions;
    start_attempt(it, now);
}

} // namespace buckthornvale::decision::gateway
