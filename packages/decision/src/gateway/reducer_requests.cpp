#include "active_request.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/reducer.hpp>
#include <buckthornvale/decision/gateway/runner_choice.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Time that a caller waits when it does not say.
constexpr duration default_wait = 30s;

//! Sends of one request of which the runner has seen nothing or refused.
constexpr std::uint32_t max_sends = 4;

//! Time that must be left for another send to make sense.
constexpr duration least_time_for_retry = 30ms;

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

//! Priorities that engines take: 0 first, 9 last.
constexpr int urgent_priority = 3;
constexpr int priority_step = 2;
constexpr int last_priority = 9;

//! Status of the product's own answers.
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

std::uint64_t fingerprint_of(request_traits const& traits)
{
    return stable_hash(traits.path + '\n' + traits.key + '\n' +
                       std::to_string(traits.body_hash));
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool is_server_error(int status)
{
    return status >= 500;
}

std::string in_milliseconds(duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

refusal reducer::check_request(request_traits const& traits,
                               organisation const*& owner, route const*& found)
{
    if (manifest_ == nullptr)
        return refusal::no_manifest;
    found = manifest_->find_route(traits.host, traits.path);
    if (found == nullptr)
        return refusal::unknown_route;
    if (!manifest_->has_organisations)
        return refusal::none;
    owner =
        traits.key.empty() ? nullptr : manifest_->find_organisation(traits.key);
    if (owner == nullptr && !found->allow_anonymous)
        return refusal::unknown_key;
    return refusal::none;
}

std::string reducer::pick_service(route const& of, std::uint64_t seed) const
{
    double total = 0;
    for (auto const& it : of.services)
        total += it.weight;
    constexpr std::uint64_t steps = 1'000'003;
    double point = total * double(seed % steps) / double(steps);
    for (auto const& it : of.services)
    {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return of.services.back().service;
}

void reducer::on(request_arrived const& in, time_point now)
{
    organisation const* owner = nullptr;
    route const* found = nullptr;
    auto const reason = check_request(in.traits, owner, found);
    auto entry = std::make_unique<active_request>();
    auto& it = *entry;
    it.ref = in.request;
    it.traits = in.traits;
    it.arrived = now;
    if (reason != refusal::none)
    {
        auto const& traits = traits_of(reason);
        log("request_refused", &it,
            {{"reason", traits.name},
             {"version", manifest_ ? std::to_string(manifest_->version) : ""}});
        refuse_request answer{in.request, reason, traits.status, {}};
        if (traits.status == status_unavailable)
            answer.retry_after = least_retry_after;
        out_.push_back(answer);
        return;
    }
    it.in_force = manifest_;
    it.plan = found;
    it.service = pick_service(*found, stable_hash(in.traits.id));
    it.organisation = owner != nullptr ? owner->name : "";
    it.rank =
        owner != nullptr ? owner->rank.value_or(found->rank) : found->rank;
    it.fingerprint = fingerprint_of(in.traits);
    it.last_event_id = in.traits.last_event_id;
    auto wait = in.traits.time_left.value_or(default_wait);
    if (found->timeout > duration::zero())
        wait = std::min(wait, found->timeout);
    it.expires = now + wait;
    it.due = now + found->target_latency - waited_before(*found, in.traits);
    it.pipeline = stage_pipeline(found->stages, in.traits.pieces);
    if (!it.pipeline.empty())
        if (auto const* home = choose_runner(it, now))
            it.home_domain = home->entry.failure_domain;
    ledger_.count_request(it.service, now);
    requests_[in.request] = std::move(entry);
    if (crashes_.refused(it.fingerprint, now))
    {
        give_up(it, refusal::crashes_runners, now);
        return;
    }
    if (!it.pipeline.empty() && is_overloaded(it, now))
    {
        give_up(it, refusal::cannot_finish_in_time, now);
        return;
    }
    advance(it, now);
}

duration reducer::waited_before(route const& of, request_traits const& traits)
{
    // A caller that comes again has less time left than at first.
    if (!traits.time_left)
        return {};
    auto& longest = longest_wait_[of.name];
    longest = std::max(longest, *traits.time_left);
    return longest - *traits.time_left;
}

void reducer::on(caller_left const& in, time_point now)
{
    auto const found = requests_.find(in.request);
    if (found == requests_.end())
        return;
    auto& it = *found->second;
    log("caller_left", &it,
        {{"after_ms", in_milliseconds(now - it.arrived)},
         {"in_flight", it.in_flight ? it.runner_id : ""}});
    bool const cancel =
        it.plan->repeatable() || it.plan->kind == request_kind::stream;
    if (it.in_flight && !cancel)
    {
        // A booking that has started is left to finish.
        it.caller_gone = true;
        return;
    }
    if (it.in_flight)
        out_.push_back(cancel_attempt{it.ref, it.attempt});
    settle(it);
}

runner_state* reducer::choose_runner(active_request& it, time_point now)
{
    std::vector<runner_state*> usable;
    runners_.usable(it.service, now, usable);
    std::vector<runner_state*> fresh;
    for (auto* state : usable)
        if (it.tried.count(state->entry.id) == 0)
            fresh.push_back(state);
    auto const* of = it.in_force->find_service(it.service);
    if (of == nullptr || !of->engine)
        return choose_plain(fresh, stable_hash(it.traits.id) + it.attempt,
                            settings_.failure_domain, now);
    engine_work work;
    work.prompt = it.traits.prompt;
    work.seed = stable_hash(it.traits.id);
    return choose_engine(fresh, work, now);
}

void reducer::start_attempt(active_request& it, time_point now)
{
    auto* state = choose_runner(it, now);
    if (state == nullptr)
    {
        give_up(it, it.sends > 0 ? refusal::runners_full : refusal::no_runner,
                now);
        return;
    }
    ++it.attempt;
    it.in_flight = true;
    it.runner_id = state->entry.id;
    it.tried.insert(it.runner_id);
    it.sent_at = now;
    it.progressed_at = now;
    ++state->outstanding;
    state->outstanding_tokens += it.traits.prompt_tokens;
    send_attempt send;
    send.request = it.ref;
    send.attempt = it.attempt;
    send.runner_id = state->entry.id;
    send.address = state->entry.address;
    send.organisation = it.organisation;
    send.time_left = it.expires - now;
    send.stream = it.plan->kind == request_kind::stream;
    send.reliable_connection = !it.plan->repeatable();
    send.last_event_id = it.last_event_id;
    auto const* of = it.in_force->find_service(it.service);
    if (of != nullptr && of->engine)
        send.priority =
            std::min(urgent_priority + it.rank * priority_step, last_priority);
    for (auto const& handle : it.pipeline.final_results())
        send.inputs += (send.inputs.empty() ? "" : ",") + handle;
    log("request_sent", &it,
        {{"runner", it.runner_id},
         {"service", it.service},
         {"attempt", std::to_string(it.attempt)},
         {"load", std::to_string(estimated_load(*state, now))},
         {"left_ms", in_milliseconds(it.expires - now)}});
    out_.push_back(std::move(send));
}

void reducer::record_signal(active_request const& it, attempt_ended const& in,
                            time_point now)
{
    auto* state = runners_.find(it.runner_id);
    if (state == nullptr)
        return;
    if (in.load)
    {
        state->load = in.load;
        state->load_at = now;
    }
    auto const took = now - it.sent_at;
    switch (in.outcome)
    {
    case attempt_outcome::answered:
        runners_.record(*state,
                        is_server_error(in.status) ? runner_signal::failed
                                                   : runner_signal::served,
                        took, now);
        break;
    case attempt_outcome::not_sent:
        runners_.record(*state, runner_signal::unreachable, took, now);
        break;
    case attempt_outcome::no_answer:
    case attempt_outcome::broken_off:
        runners_.record(*state, runner_signal::silent, took, now);
        break;
    case attempt_outcome::refused:
        runners_.record(*state,
                        in.other_runner ? runner_signal::replaced
                                        : runner_signal::full,
                        took, now);
        break;
    }
}

void reducer::on(attempt_ended const& in, time_point now)
{
    auto const found = requests_.find(in.request);
    if (found == requests_.end() || !found->second->in_flight ||
        found->second->attempt != in.attempt)
        return;
    auto& it = *found->second;
    record_signal(it, in, now);
    end_attempt(it, in, now);
}

void reducer::end_attempt(active_request& it, attempt_ended const& in,
                          time_point now)
{
    if (auto* state = runners_.find(it.runner_id))
    {
        state->outstanding -= state->outstanding > 0 ? 1 : 0;
        state->outstanding_tokens =
            std::max(0.0, state->outstanding_tokens - it.traits.prompt_tokens);
    }
    it.in_flight = false;
    if (!in.last_event_id.empty())
        it.last_event_id = in.last_event_id;
    if (in.outcome != attempt_outcome::not_sent)
        ++it.sends;
    bool const may_have_run = in.outcome != attempt_outcome::not_sent &&
                              in.outcome != attempt_outcome::refused;
    if (may_have_run)
        ++it.executed;
    bool const broke = in.reset && (in.outcome == attempt_outcome::no_answer ||
                                    in.outcome == attempt_outcome::broken_off);
    if (broke)
        note_crash(it, false, now);
    if (it.caller_gone)
    {
        settle(it);
        return;
    }
    switch (in.outcome)
    {
    case attempt_outcome::answered:
        judge_answer(it, in, now);
        break;
    case attempt_outcome::not_sent:
        if (!try_again(it, false, now))
            give_up(it, refusal::no_runner, now);
        break;
    case attempt_outcome::refused:
    {
        constexpr int inputs_gone = 409;
        if (in.status == inputs_gone && !it.pipeline.empty() &&
            it.pipeline.round() == 0)
        {
            it.pipeline.restart();
            it.tried.clear();
            advance(it, now);
        }
        else if (!try_again(it, false, now))
            give_up(it, refusal::runners_full, now);
        break;
    }
    case attempt_outcome::no_answer:
    case attempt_outcome::broken_off:
        if (!try_again(it, true, now))
            give_up(it, refusal::runner_failed, now);
        break;
    }
}

void reducer::judge_answer(active_request& it, attempt_ended const& in,
                           time_point now)
{
    bool const success = is_success(in.status);
    bool const bad = success && !in.sealed;
    if (success && !bad)
        note_crash(it, true, now);
    if ((bad || is_server_error(in.status)) && !it.streaming &&
        try_again(it, true, now))
        return;
    if (bad || (states_not_run(in.status) && !it.streaming))
    {
        // The runner does not state that the request has not run, so its
        // status must not promise so to the caller.
        give_up(it, refusal::bad_answer, now);
        return;
    }
    log("request_answered", &it,
        {{"runner", it.runner_id},
         {"status", std::to_string(in.status)},
         {"attempt", std::to_string(it.attempt)},
         {"took_ms", in_milliseconds(now - it.arrived)}});
    out_.push_back(deliver_answer{it.ref, it.attempt});
    settle(it);
}

bool reducer::try_again(active_request& it, bool may_have_run, time_point now)
{
    if (it.expires - now < least_time_for_retry)
        return false;
    bool const repeatable = it.plan->repeatable();
    if (may_have_run && !repeatable)
        return false;
    if (it.executed >= it.plan->max_attempts || it.sends >= max_sends ||
        it.attempt >= 2 * max_sends)
        return false;
    if (crashes_.refused(it.fingerprint, now))
        return false;
    if (it.sends > 0 && !ledger_.take(it.service, members_.count(), now))
    {
        log("retry_over_budget", &it, {{"service", it.service}});
        return false;
    }
    auto const attempt = it.attempt;
    auto const ref = it.ref;
    start_attempt(it, now);
    // The request may be settled by now: no runner was left.
    auto const found = requests_.find(ref);
    return found == requests_.end() || found->second->attempt > attempt;
}

std::optional<duration> reducer::retry_after(active_request const& it,
                                             refusal reason,
                                             time_point now) const
{
    if (traits_of(reason).status != status_unavailable)
        return std::nullopt;
    duration wait = least_retry_after;
    if (reason == refusal::cannot_finish_in_time ||
        reason == refusal::stage_failed)
        wait = expected_stage_time(it, now);
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
    if (it.caller_gone)
        ;
    else if (it.streaming)
        out_.push_back(abort_stream{it.ref, reason});
    else
    {
        refuse_request answer{it.ref, reason, status, {}};
        if (status == status_unavailable)
            answer.retry_after = retry_after(it, reason, now);
        out_.push_back(answer);
    }
    settle(it);
}

void reducer::settle(active_request& it)
{
    if (it.in_flight)
        if (auto* state = runners_.find(it.runner_id))
        {
            state->outstanding -= state->outstanding > 0 ? 1 : 0;
            state->outstanding_tokens = std::max(
                0.0, state->outstanding_tokens - it.traits.prompt_tokens);
        }
    release(it.pipeline.take_all(), now_);
    std::set<std::string> owners;
    for (auto const& owner : it.owners)
        if (!it.pipeline.missing(owner.first).empty())
            owners.insert(owner.second);
    auto const ref = it.ref;
    for (auto const& name : owners)
        send_message(name, withdraw_pieces{{ref}}, now_);
    requests_.erase(ref);
}

void reducer::on(stream_started const& in, time_point now)
{
    auto const found = requests_.find(in.request);
    if (found == requests_.end() || found->second->attempt != in.attempt)
        return;
    auto& it = *found->second;
    it.streaming = true;
    it.progressed_at = now;
    if (auto* state = runners_.find(it.runner_id))
    {
        if (in.load)
        {
            state->load = in.load;
            state->load_at = now;
        }
        runners_.record(*state, runner_signal::served, now - it.sent_at, now);
    }
    // The runner has fetched its inputs before it made the first event.
    release(it.pipeline.take_all(), now);
}

void reducer::on(stream_advanced const& in, time_point now)
{
    auto const found = requests_.find(in.request);
    if (found != requests_.end() && found->second->attempt == in.attempt)
        found->second->progressed_at = now;
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
                settle(it);
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
    {
        runners_.record(*state, runner_signal::silent, now - it.sent_at, now);
        state->outstanding -= state->outstanding > 0 ? 1 : 0;
    }
    it.in_flight = false;
    ++it.sends;
    ++it.executed;
    start_attempt(it, now);
}

} // namespace buckthornvale::decision::gateway
