#include "active_request.hpp"
#include "milliseconds_text.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/attempt_judgement.hpp>
#include <buckthornvale/decision/gateway/reducer.hpp>
#include <buckthornvale/decision/gateway/runner_choice.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Assumed waiting time of callers that do not state one.
constexpr duration default_time_left = 30s;

//! Retry delay that is returned while the VM has no manifest or stops.
constexpr duration unready_retry_after = 100ms;

//! Retry delay of requests that only another version of the manifest can serve.
constexpr duration unusable_route_retry_after = 1s;

//! Priorities of engines range from 0 (most urgent) to 9.
constexpr int urgent_priority = 3;
constexpr int priority_step = 2;
constexpr int last_priority = 9;

std::uint64_t fingerprint_of(request_traits const& traits)
{
    return stable_hash(traits.path + '\n' + traits.key + '\n' +
                       std::to_string(traits.body_hash));
}

engine_request engine_request_of(request_traits const& traits,
                                 route const& matched_route)
{
    engine_request out;
    out.streams = matched_route.kind == request_kind::stream;
    out.prompt = traits.prompt;
    out.seed = stable_hash(traits.id);
    out.prompt_tokens = traits.prompt_tokens;
    out.output_tokens = traits.output_tokens;
    return out;
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool is_server_error(int status)
{
    return status >= 500;
}

} // namespace

refusal reducer::check_request(request_traits const& traits,
                               organisation const*& caller_organisation,
                               route const*& found, time_point now) const
{
    if (draining_ && accept_until_ <= now)
        return refusal::vm_stopping;
    if (manifest_ == nullptr)
        return refusal::no_manifest;
    if (!crash_records_known_)
        return refusal::vm_starting;
    found = manifest_->find_route(traits.host, traits.path);
    if (found == nullptr)
        return refusal::unknown_route;
    if (manifest_->has_organisations && !traits.key.empty())
        caller_organisation = manifest_->find_organisation(traits.key);
    if (manifest_->has_organisations && caller_organisation == nullptr &&
        !found->allow_anonymous)
        return refusal::unknown_key;
    if (found->defect != route_defect::none)
        return refusal::unusable_route;
    // One of the two knows another version of the manifest.
    if (!traits.pieces.empty() && traits.pieces.size() != found->stages.size())
        return refusal::unmatched_pieces;
    return refusal::none;
}

std::string reducer::pick_service(route const& matched_route,
                                  std::uint64_t seed) const
{
    double total = 0;
    for (auto const& it : matched_route.services)
        total += it.weight;
    constexpr std::uint64_t steps = 1'000'003;
    double point = total * double(seed % steps) / double(steps);
    for (auto const& it : matched_route.services)
    {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return matched_route.services.back().service;
}

void reducer::on(request_arrived const& in, time_point now)
{
    organisation const* caller_organisation = nullptr;
    route const* found = nullptr;
    auto const reason =
        check_request(in.traits, caller_organisation, found, now);
    auto entry = std::make_unique<active_request>();
    auto& request = *entry;
    request.ref = in.request;
    request.traits = in.traits;
    request.arrived_at = now;
    if (reason != refusal::none)
    {
        auto const& traits = traits_of(reason);
        log("request_refused", &request,
            {{"reason", traits.name},
             {"route", found != nullptr ? found->name : ""},
             {"version", manifest_ ? std::to_string(manifest_->version) : ""}});
        refuse_request answer{in.request, reason, traits.status, {}};
        if (states_not_run(traits.status))
            answer.retry_after = reason == refusal::unusable_route
                                     ? unusable_route_retry_after
                                     : unready_retry_after;
        out_.push_back(answer);
        return;
    }
    request.arrival_manifest = manifest_;
    request.matched_route = found;
    request.service = pick_service(*found, stable_hash(in.traits.id));
    request.organisation =
        caller_organisation != nullptr ? caller_organisation->name : "";
    request.rank = caller_organisation != nullptr
                       ? caller_organisation->rank.value_or(found->rank)
                       : found->rank;
    request.fingerprint = fingerprint_of(in.traits);
    request.suspects = crash_suspects_of(request.service, in.traits);
    request.last_event_id = in.traits.last_event_id;
    auto wait = in.traits.time_left.value_or(default_time_left);
    if (found->timeout > duration::zero())
        wait = std::min(wait, found->timeout);
    request.deadline = now + wait;
    request.due =
        now + found->target_latency - time_spent_before(*found, in.traits);
    request.pipeline = stage_pipeline(found->stages, in.traits.pieces);
    runner_state const* expected_runner = nullptr;
    if (!request.pipeline.empty())
        expected_runner = choose_runner(request, now).runner;
    if (expected_runner != nullptr)
        request.expected_domain = expected_runner->entry.failure_domain;
    retry_budget_.count_request(request.service, now);
    requests_[in.request] = std::move(entry);
    allow_retrial(request, now);
    if (is_blocked(request))
    {
        fail_request(request, refusal::crashes_runners, now);
        return;
    }
    if (are_runners_quiet(request, now))
    {
        fail_request(request, refusal::no_runner, now);
        return;
    }
    if (!has_send_left(request, now))
    {
        log_rate_limit(request, now);
        fail_request(request, refusal::runners_limited, now);
        return;
    }
    if (!request.pipeline.empty() && expected_runner == nullptr &&
        has_usable_engine(request, now))
    {
        fail_request(request, refusal::runners_full, now);
        return;
    }
    if (!request.pipeline.empty() && !admit_stages(request, now))
    {
        fail_request(request, refusal::cannot_finish_in_time, now);
        return;
    }
    announce_later_stages(request, now);
    advance(request, now);
}

duration reducer::time_spent_before(route const& matched_route,
                                    request_traits const& traits)
{
    if (!traits.time_left)
        return {};
    auto& known = first_attempt_times_[matched_route.name];
    if (!traits.on_reused_connection)
        return known.time_since_first(*traits.time_left);
    known.record(*traits.time_left);
    return {};
}

void reducer::on(caller_left const& in, time_point now)
{
    auto const found = requests_.find(in.request);
    if (found == requests_.end())
        return;
    auto& request = *found->second;
    log("caller_left", &request,
        {{"after_ms", milliseconds_text(now - request.arrived_at)},
         {"in_flight", request.in_flight ? request.runner_id : ""}});
    bool const cancel = request.matched_route->repeatable() ||
                        request.matched_route->kind == request_kind::stream;
    if (request.in_flight && !cancel)
    {
        // A request that must not be repeated is left to finish on its runner.
        request.caller_gone = true;
        return;
    }
    if (request.in_flight)
        out_.push_back(cancel_attempt{request.ref, request.attempt});
    finish_request(request, now);
}

runner_choice reducer::choose_runner(active_request& request, time_point now)
{
    std::vector<runner_state*> usable;
    runners_.usable(request.service, now, usable);
    std::vector<runner_state*> untried;
    for (auto* state : usable)
        if (request.tried_runners.count(state->entry.id) == 0)
            untried.push_back(state);
    auto* idle = find_idle_share(untried, now);
    auto const* service_settings =
        request.arrival_manifest->find_service(request.service);
    if (service_settings != nullptr && service_settings->engine)
    {
        auto work = engine_request_of(request.traits, *request.matched_route);
        work.was_sent = request.attempt > 0;
        return choose_engine_runner(untried, work, *service_settings->engine,
                                    engine_profiles_[request.service], now,
                                    idle);
    }
    auto* state = idle != nullptr
                      ? idle
                      : choose_service_runner(untried,
                                              stable_hash(request.traits.id) +
                                                  request.attempt,
                                              settings_.failure_domain, now);
    return {state, {}, state != nullptr ? estimated_load(*state, now) : 0};
}

bool reducer::are_runners_quiet(active_request const& request,
                                time_point now) const
{
    auto const until = runners_.quiet_until(request.service, now);
    if (!until)
        return false;
    auto const estimate = estimate_stages(request, now);
    std::vector<duration> const no_waits(estimate.stages.size());
    return now + request.pipeline.finish_time(estimate.stages, no_waits) <
           *until;
}

void reducer::start_attempt(active_request& request, time_point now)
{
    // On a VM that is short of processor time, results can be handled before
    // the tick that would have ended the request.
    if (end_at_deadline(request, now))
        return;
    if (is_blocked(request))
    {
        fail_request(request, refusal::crashes_runners, now);
        return;
    }
    auto const choice = choose_runner(request, now);
    auto* state = choice.runner;
    if (state == nullptr)
    {
        if (!wait_for_share(request, now) && !plan_retry(request, now))
            fail_request(request, reason_without_runner(request, now), now);
        return;
    }
    request.awaits_share = false;
    request.retry_at.reset();
    request.delivery_blocked = false;
    ++request.attempt;
    request.in_flight = true;
    request.runner_id = state->entry.id;
    request.tried_runners.insert(request.runner_id);
    request.sent_at = now;
    request.last_progress = now;
    ++state->outstanding;
    count_send(*state, now);
    send_attempt send;
    send.request = request.ref;
    send.attempt = request.attempt;
    send.runner_id = state->entry.id;
    send.address = state->entry.address;
    send.organisation = request.organisation;
    send.time_left = request.deadline - now;
    send.stream = request.matched_route->kind == request_kind::stream;
    send.reliable_connection = !request.matched_route->repeatable();
    send.last_event_id = request.last_event_id;
    auto const* service_settings =
        request.arrival_manifest->find_service(request.service);
    if (service_settings != nullptr && service_settings->engine)
        place_on_engine(request, choice, send, now);
    for (auto const& handle : request.pipeline.final_results())
        send.inputs += (send.inputs.empty() ? "" : ",") + handle;
    log_send(request, choice, now);
    out_.push_back(std::move(send));
}

void reducer::place_on_engine(active_request const& request,
                              runner_choice const& choice, send_attempt& out,
                              time_point now)
{
    choice.runner->engine.sent(
        request.ref, engine_request_of(request.traits, *request.matched_route),
        choice.expected, now);
    engine_profiles_[request.service].record_send(
        choice.expected.unread_tokens);
    out.priority =
        std::min(urgent_priority + request.rank * priority_step, last_priority);
    out.expected_first_event = choice.expected.first_event;
}

void reducer::log_send(active_request const& request,
                       runner_choice const& choice, time_point now)
{
    std::vector<log_decision::field> fields = {
        {"runner", request.runner_id},
        {"service", request.service},
        {"attempt", std::to_string(request.attempt)},
        {"load", std::to_string(choice.load)},
        {"left_ms", milliseconds_text(request.deadline - now)}};
    auto const& expected = choice.expected;
    if (expected.first_event > duration::zero())
    {
        fields.push_back(
            {"expected_ms", milliseconds_text(expected.first_event)});
        fields.push_back({"usual_ms", milliseconds_text(expected.usual_time)});
        fields.push_back(
            {"unread_tokens", std::to_string(expected.unread_tokens)});
        fields.push_back(
            {"tokens_before", std::to_string(expected.tokens_before)});
    }
    log("request_sent", &request, std::move(fields));
}

void reducer::record_signal(active_request const& request,
                            attempt_ended const& in, attempt_outcome outcome,
                            time_point now)
{
    auto* state = runners_.find(request.runner_id);
    if (state == nullptr)
        return;
    // The report of a stream is as old as its first event, and is known.
    if (!request.streaming)
        record_load(*state, in.load, now);
    auto const elapsed = now - request.sent_at;
    bool const failed =
        in.transport == transport_end::complete && is_server_error(in.status);
    switch (outcome)
    {
    case attempt_outcome::answered:
        runners_.record(*state,
                        failed ? runner_signal::failed : runner_signal::served,
                        elapsed, now);
        break;
    case attempt_outcome::not_sent:
        runners_.record(*state, runner_signal::unreachable, elapsed, now);
        break;
    case attempt_outcome::no_answer:
    case attempt_outcome::interrupted:
        runners_.record(*state,
                        failed ? runner_signal::failed : runner_signal::silent,
                        elapsed, now);
        break;
    case attempt_outcome::refused:
        runners_.record(*state,
                        in.misdirected ? runner_signal::replaced
                                       : runner_signal::full,
                        elapsed, now);
        break;
    }
}

reducer::active_request* reducer::find_attempt(request_ref ref,
                                               std::uint32_t attempt)
{
    auto const found = requests_.find(ref);
    bool const current =
        found != requests_.end() && found->second->attempt == attempt;
    return current ? found->second.get() : nullptr;
}

void reducer::release_runner(active_request& request)
{
    request.in_flight = false;
    auto* state = runners_.find(request.runner_id);
    if (state == nullptr)
        return;
    state->outstanding -= state->outstanding > 0 ? 1 : 0;
    state->engine.ended(request.ref);
}

void reducer::on(attempt_ended const& in, time_point now)
{
    auto* request = find_attempt(in.request, in.attempt);
    if (request == nullptr || !request->in_flight)
        return;
    auto const outcome = judge_attempt(in, request->streaming);
    log_attempt(*request, in, outcome, now);
    record_signal(*request, in, outcome, now);
    end_attempt(*request, in, outcome, now);
}

void reducer::log_attempt(active_request const& request,
                          attempt_ended const& in, attempt_outcome outcome,
                          time_point now)
{
    // "request_answered" tells the rest of a plain success.
    if (outcome == attempt_outcome::answered && is_success(in.status) &&
        in.framing != body_framing::connection)
        return;
    log("attempt_ended", &request,
        {{"runner", request.runner_id},
         {"connection", std::to_string(in.connection)},
         {"outcome", name_of(outcome)},
         {"status", std::to_string(in.status)},
         {"framing", name_of(in.framing)},
         {"connection_lost", in.reset ? "true" : "false"},
         {"events_forwarded", request.streaming ? "true" : "false"},
         {"inside_event", in.inside_event ? "true" : "false"},
         {"took_ms", milliseconds_text(now - request.sent_at)}});
}

void reducer::end_attempt(active_request& request, attempt_ended const& in,
                          attempt_outcome outcome, time_point now)
{
    release_runner(request);
    if (!in.last_event_id.empty())
        request.last_event_id = in.last_event_id;
    if (outcome != attempt_outcome::not_sent)
        ++request.sends;
    bool const may_have_run = outcome != attempt_outcome::not_sent &&
                              outcome != attempt_outcome::refused;
    if (may_have_run)
        ++request.possible_executions;
    record_crash_evidence(request, in, outcome, now);
    if (request.caller_gone)
    {
        finish_request(request, now);
        return;
    }
    switch (outcome)
    {
    case attempt_outcome::answered:
        handle_answer(request, in, now);
        break;
    case attempt_outcome::not_sent:
        if (!retry(request, false, now) && !plan_retry(request, now))
            fail_request(request, refusal::no_runner, now);
        break;
    case attempt_outcome::refused:
        if (!retry_refused(request, in.status, now))
            fail_request(request, refusal::runners_full, now);
        break;
    case attempt_outcome::no_answer:
    case attempt_outcome::interrupted:
        if (!retry(request, true, now) && !plan_retry(request, now))
            fail_request(request, refusal::runner_failed, now);
        break;
    }
}

void reducer::handle_answer(active_request& request, attempt_ended const& in,
                            time_point now)
{
    bool const success = is_success(in.status);
    bool const unverified = success && !in.sealed;
    if (success && !unverified)
        update_crash_record(request, true, now);
    if ((unverified || is_server_error(in.status)) && retry(request, true, now))
        return;
    if (unverified || states_not_run(in.status))
    {
        // The status would tell the caller that the request was not executed,
        // but the runner did not state that.
        fail_request(request, refusal::bad_answer, now);
        return;
    }
    log("request_answered", &request,
        {{"runner", request.runner_id},
         {"route", request.matched_route->name},
         {"rank", std::to_string(request.rank)},
         {"status", std::to_string(in.status)},
         {"attempt", std::to_string(request.attempt)},
         {"took_ms", milliseconds_text(now - request.arrived_at)}});
    out_.push_back(deliver_answer{request.ref, request.attempt});
    finish_request(request, now);
}

} // namespace buckthornvale::decision::gateway
