#include "active_request.hpp"
#include "milliseconds_text.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/reducer.hpp>
#include <buckthornvale/decision/gateway/return_delay.hpp>

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
//! multiple of the maximum pause of its route. The minimum is longer than sound
//! runners are silent at times, which is about a second.
constexpr int stall_factor = 3;
constexpr duration min_stall_time = 2s;

//! Bounds of the retry delay that is returned to refused callers.
constexpr duration min_retry_after = 100ms;
constexpr duration max_retry_after = 2s;

//! Jitter prevents refused callers from returning in one burst. Those whose
//! runners want no requests for some time must not return before its end.
constexpr double max_quiet_jitter = 0.5;

//! Statuses of answers of the gateway itself.
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

} // namespace

bool reducer::has_usable_engine(active_request const& request, time_point now)
{
    auto const* it = request.arrival_manifest->find_service(request.service);
    std::vector<runner_state*> usable;
    runners_.usable(request.service, now, usable);
    return it != nullptr && it->engine && !usable.empty();
}

refusal reducer::reason_without_runner(active_request const& request,
                                       time_point now)
{
    if (request.sends > 0 || has_usable_engine(request, now))
        return refusal::runners_full;
    if (runners_.first_limited(request.service, now) == nullptr)
        return refusal::no_runner;
    log_rate_limit(request, now);
    return refusal::runners_limited;
}

duration reducer::expected_first_event(std::string const& service,
                                       double unread_tokens) const
{
    auto const found = engine_profiles_.find(service);
    auto const& profile =
        found == engine_profiles_.end() ? engine_profile() : found->second;
    return profile.expected_first_event(unread_tokens);
}

std::optional<duration> reducer::retry_after(active_request const& request,
                                             refusal reason,
                                             time_point now) const
{
    // A request that crashes runners is not served later either.
    if (traits_of(reason).status != status_unavailable ||
        reason == refusal::crashes_runners)
        return std::nullopt;
    auto const jitter = stable_fraction(request.traits.id);
    if (auto const until = runners_.quiet_until(request.service, now))
        return std::max(min_retry_after,
                        from_seconds(to_seconds(*until - now) *
                                     (1 + max_quiet_jitter * jitter)));
    if (reason == refusal::cannot_finish_in_time ||
        reason == refusal::stage_failed)
        return return_delay({request.deadline - now,
                             forecast_stages(request, now).queue_wait, jitter});
    duration wait = min_retry_after;
    if (auto const* limited = runners_.first_limited(request.service, now);
        limited != nullptr && reason == refusal::runners_limited)
        wait =
            std::min<duration>(next_send(*limited, now) - now, max_retry_after);
    // Memory of a model runner is free when others have been served.
    auto const* served =
        request.arrival_manifest->find_service(request.service);
    if (reason == refusal::runners_full && served != nullptr && served->engine)
        wait =
            std::max(wait, expected_first_event(request.service,
                                                request.traits.prompt_tokens));
    wait = from_seconds(to_seconds(wait) * (0.75 + 0.5 * jitter));
    return std::clamp(wait, min_retry_after, max_retry_after);
}

void reducer::fail_request(active_request& request, refusal reason,
                           time_point now)
{
    auto const& traits = traits_of(reason);
    int const status =
        states_not_run(traits.status) && request.possible_executions > 0
            ? status_bad_gateway
            : traits.status;
    log(request.streaming ? "stream_aborted" : "request_refused", &request,
        {{"reason", traits.name},
         {"route", request.matched_route->name},
         {"rank", std::to_string(request.rank)},
         {"status", std::to_string(status)},
         {"runner", request.runner_id},
         {"sends", std::to_string(request.sends)},
         {"after_ms", milliseconds_text(now - request.arrived_at)}});
    if (request.in_flight)
        out_.push_back(cancel_attempt{request.ref, request.attempt});
    if (request.streaming && !request.caller_gone)
        out_.push_back(abort_stream{request.ref, reason});
    else if (!request.caller_gone)
    {
        refuse_request answer;
        answer.request = request.ref;
        answer.reason = reason;
        answer.status = status;
        answer.route_rank = request.matched_route->rank;
        if (status == status_unavailable)
            answer.retry_after = retry_after(request, reason, now);
        out_.push_back(answer);
    }
    finish_request(request, now);
}

void reducer::finish_request(active_request& request, time_point now)
{
    if (request.in_flight)
        release_runner(request);
    release_stage_results(request.pipeline.take_all_results(), now);
    std::set<std::string> owners;
    if (!request.pipeline.complete())
        owners = request.announced_to;
    for (auto const& owner : request.owners)
        if (request.pipeline.awaits_results(owner.first))
            owners.insert(owner.second);
    auto const ref = request.ref;
    for (auto const& name : owners)
        send_message(name, cancel_pieces{{ref}}, now);
    requests_.erase(ref);
}

void reducer::on(stream_started const& in, time_point now)
{
    auto* request = find_attempt(in.request, in.attempt);
    if (request == nullptr)
        return;
    if (!request->streaming)
        record_answer_time(request->service, now - request->sent_at);
    request->streaming = true;
    request->last_progress = now;
    if (!in.last_event_id.empty())
        request->last_event_id = in.last_event_id;
    record_first_event(*request, now);
    if (auto* state = runners_.find(request->runner_id))
    {
        record_load(*state, in.load, now);
        runners_.record(*state, runner_signal::served, now - request->sent_at,
                        now);
    }
    // A runner fetches its inputs before it sends the first event.
    release_stage_results(request->pipeline.take_all_results(), now);
}

void reducer::record_first_event(active_request const& request, time_point now)
{
    auto* state = runners_.find(request.runner_id);
    if (state == nullptr)
        return;
    if (auto const sample = state->engine.started(request.ref, now))
        engine_profiles_[request.service].record_first_event(*sample);
}

void reducer::on(stream_advanced const& in, time_point now)
{
    auto* request = find_attempt(in.request, in.attempt);
    if (request == nullptr)
        return;
    // A runner that stalls may go on sending comments.
    bool const advanced =
        in.last_event_id.empty() || in.last_event_id != request->last_event_id;
    if (advanced)
    {
        request->last_progress = now;
        // The first event of a resumed stream continues those of another
        // runner.
        record_first_event(*request, now);
    }
    if (!in.last_event_id.empty())
        request->last_event_id = in.last_event_id;
}

void reducer::on(delivery_blocked const& in, time_point now)
{
    auto const found = requests_.find(in.request);
    if (found == requests_.end())
        return;
    found->second->delivery_blocked = in.blocked;
    found->second->last_progress = now;
}

bool reducer::end_at_deadline(active_request& request, time_point now)
{
    if (request.deadline > now)
        return false;
    if (request.in_flight)
    {
        if (auto* state = runners_.find(request.runner_id);
            state != nullptr && !request.streaming)
            runners_.record(*state, runner_signal::silent,
                            now - request.sent_at, now);
        if (request.caller_gone)
        {
            out_.push_back(cancel_attempt{request.ref, request.attempt});
            finish_request(request, now);
            return true;
        }
        ++request.possible_executions;
    }
    fail_request(request,
                 request.possible_executions > 0
                     ? refusal::no_answer_in_time
                     : refusal::cannot_finish_in_time,
                 now);
    return true;
}

void reducer::check_progress(active_request& request, time_point input_until,
                             time_point now)
{
    if (request.in_flight &&
        input_until - request.last_progress >= silence_limit(request))
        move_from_silent_runner(request, now);
    else if (request.retry_at && *request.retry_at <= now)
        run_planned_retry(request, now);
}

duration reducer::silence_limit(active_request const& request)
{
    auto const& route = *request.matched_route;
    bool const movable = !request.caller_gone && !request.delivery_blocked &&
                         route.repeatable() &&
                         request.possible_executions + 1 < route.max_attempts;
    if (!movable)
        return duration::max();
    if (route.kind != request_kind::stream)
    {
        auto const* state = runners_.find(request.runner_id);
        auto const average_s = state != nullptr ? state->latency_s : 0;
        return std::clamp<duration>(from_seconds(hedge_factor * average_s),
                                    min_hedge_delay, max_hedge_delay);
    }
    auto const limit =
        std::max<duration>(route.max_event_gap * stall_factor, min_stall_time);
    return request.streaming ? limit : std::max(limit, route.target_latency);
}

duration reducer::time_to_resume(active_request const& request,
                                 time_point now) const
{
    // The results of its stages were released when the stream began.
    return request.streaming ? forecast_stages(request, now).on_schedule
                             : average_answer_time(request.service);
}

void reducer::move_from_silent_runner(active_request& request, time_point now)
{
    // The runner may be sound: the request stays there while no other runner,
    // no time for its answer or no retry is left, and its silence is measured
    // from now on.
    bool const too_late =
        request.matched_route->kind == request_kind::stream &&
        now + time_to_resume(request, now) >= request.deadline;
    if (too_late || choose_runner(request, now).runner == nullptr ||
        !retry_budget_.try_consume(request.service, members_.count(), now))
    {
        request.last_progress = now;
        return;
    }
    log("runner_silent", &request,
        {{"runner", request.runner_id},
         {"silent_ms", milliseconds_text(now - request.last_progress)}});
    out_.push_back(cancel_attempt{request.ref, request.attempt});
    if (auto* state = runners_.find(request.runner_id))
        runners_.record(*state, runner_signal::silent, now - request.sent_at,
                        now);
    release_runner(request);
    ++request.sends;
    ++request.possible_executions;
    start_attempt(request, now);
}

} // namespace buckthornvale::decision::gateway
