#include "active_request.hpp"
#include "log_text.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! An idempotent request without an answer is sent to another runner after
//! this many times the usual time, within these bounds.
constexpr double hedge_factor = 6;
constexpr duration least_hedge_time = 120ms;
constexpr duration most_hedge_time = 600ms;

//! A stream that may be resumed goes on elsewhere after a pause of this many
//! times the longest that its route allows.
constexpr int stall_factor = 3;
constexpr duration least_stall_time = 1s;

//! Bounds of the time after which a refused caller may return.
constexpr duration least_retry_after = 100ms;
constexpr duration most_retry_after = 2s;

//! Status of the product's own answers.
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

} // namespace

std::optional<duration> reducer::retry_after(active_request const& it,
                                             refusal reason,
                                             time_point now) const
{
    if (traits_of(reason).status != status_unavailable)
        return std::nullopt;
    duration wait = least_retry_after;
    if (reason == refusal::cannot_finish_in_time ||
        reason == refusal::stage_failed)
        wait = forecast_stages(it, now).in_turn;
    // Spread returns, so that refused callers do not come back as one burst.
    constexpr std::uint64_t steps = 1000;
    double const spread =
        0.75 + 0.5 * double(stable_hash(it.traits.id) % steps) / steps;
    wait = from_seconds(to_seconds(wait) * spread);
    return std::clamp(wait, least_retry_after, most_retry_after);
}

void reducer::give_up(active_request& it, refusal reason, time_point now)
{
    auto const& traits = traits_of(reason);
    int const status = states_not_run(traits.status) && it.executed > 0
                           ? status_bad_gateway
                           : traits.status;
    log(it.streaming ? "stream_aborted" : "request_refused", &it,
        {{"reason", traits.name},
         {"status", std::to_string(status)},
         {"runner", it.runner_id},
         {"sends", std::to_string(it.sends)},
         {"after_ms", in_milliseconds(now - it.arrived)}});
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
    settle(it, now);
}

void reducer::settle(active_request& it, time_point now)
{
    if (it.in_flight)
        leave_runner(it);
    release(it.pipeline.take_all(), now);
    std::set<std::string> owners;
    for (auto const& owner : it.owners)
        if (it.pipeline.lacks_results(owner.first))
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
        note_answer_time(it->service, now - it->sent_at);
    it->streaming = true;
    it->progressed_at = now;
    if (!in.last_event_id.empty())
        it->last_event_id = in.last_event_id;
    if (auto* state = runners_.find(it->runner_id))
    {
        note_load(*state, in.load, now);
        runners_.record(*state, runner_signal::served, now - it->sent_at, now);
    }
    // The runner has fetched its inputs before it made the first event.
    release(it->pipeline.take_all(), now);
}

void reducer::on(stream_advanced const& in, time_point now)
{
    auto* it = find_attempt(in.request, in.attempt);
    if (it == nullptr)
        return;
    it->progressed_at = now;
    if (!in.last_event_id.empty())
        it->last_event_id = in.last_event_id;
}

void reducer::check_times(active_request& it, time_point now)
{
    if (it.expires <= now)
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
                settle(it, now);
                return;
            }
            ++it.executed;
        }
        give_up(it,
                it.executed > 0 ? refusal::no_answer_in_time
                                : refusal::cannot_finish_in_time,
                now);
        return;
    }
    if (!it.in_flight || it.caller_gone || !it.plan->repeatable() ||
        it.executed + 1 >= it.plan->max_attempts)
        return;
    duration limit{};
    auto* state = runners_.find(it.runner_id);
    if (it.plan->kind == request_kind::stream)
        limit = std::max<duration>(it.plan->gap_target * stall_factor,
                                   least_stall_time);
    else
        limit = std::clamp<duration>(
            from_seconds(hedge_factor *
                         (state != nullptr ? state->latency_s : 0)),
            least_hedge_time, most_hedge_time);
    if (it.plan->kind == request_kind::stream && !it.streaming)
        limit = std::max(limit, it.plan->target_latency);
    if (now - it.progressed_at < limit)
        return;
    // Later requests wait for the budget again; this one keeps its runner.
    if (!ledger_.take(it.service, members_.count(), now))
    {
        it.progressed_at = now;
        return;
    }
    log("runner_silent", &it,
        {{"runner", it.runner_id},
         {"silent_ms", in_milliseconds(now - it.progressed_at)}});
    out_.push_back(cancel_attempt{it.ref, it.attempt});
    if (state != nullptr)
        runners_.record(*state, runner_signal::silent, now - it.sent_at, now);
    leave_runner(it);
    ++it.sends;
    ++it.executed;
    start_attempt(it, now);
}

} // namespace buckthornvale::decision::gateway
