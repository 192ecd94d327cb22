#include <buckthornvale/decision/requests/answers.hpp>
#include <buckthornvale/decision/requests/request_flow.hpp>
#include <buckthornvale/decision/requests/request_rules.hpp>

#include <algorithm>
#include <iterator>

namespace buckthornvale::decision::requests
{

namespace
{

constexpr double median_probability = 0.5;

bool all_done(request_state const& request)
{
    return std::all_of(request.stages.begin(), request.stages.end(),
                       [](stage_state const& it) {
                           return it.phase == stage_phase::done ||
                                  it.phase == stage_phase::unneeded;
                       });
}

} // namespace

request_flow::request_flow(flow_dependencies dependencies,
                           failure_domain_id local_domain,
                           std::uint64_t incarnation)
    : dependencies_(dependencies),
      executor_({*this, dependencies.router, dependencies.isolation,
                 dependencies.retry_budget, dependencies.deadline_split,
                 dependencies.hedge_policy, dependencies.settings.runners()},
                local_domain, incarnation),
      claims_(incarnation)
{
}

void request_flow::on_request_received(request_received const& event,
                                       time_point now, flow_output out)
{
    wall_time_ = event.received_at;
    if (!dependencies_.settings.ready())
        return refuse(event, {error_kind::not_ready, {}}, {}, out);
    auto const& call = event.call;
    if (auto failure = check_request(dependencies_.settings.settings(), call))
        return refuse(event, std::move(failure), {}, out);
    auto const organisation = organisation_id::of(call.organisation);
    auto const content = isolation::fingerprint_of(
        pipeline_id::of(call.pipeline), organisation, call.input);
    if (dependencies_.isolation.check(content, now) ==
        isolation::isolation_decision::refused)
        return refuse(event, {error_kind::isolated, {}}, {}, out);

    auto state = make_state(event, now, content);
    std::vector<admission::stage_demand> demands;
    for (stage_index n = 0; n < state.graph->size(); ++n)
    {
        auto const& stage = state.graph->path_from(n).front();
        demands.push_back(
            {state.graph->pool_of(n),
             dependencies_.deadline_split.quantile(stage, median_probability)});
    }
    admission::admission_request request;
    request.request = event.request;
    request.organisation = organisation;
    request.work_rank = call.work_rank;
    request.deadline = state.deadline;
    request.stages = demands;
    request.expected_total = dependencies_.deadline_split.needed(
        state.graph->longest_path(), median_probability);
    auto const decision = dependencies_.admission.admit(request, now);
    if (decision.outcome == admission::admission_outcome::refused)
        return refuse(event, {decision.reason, {}}, decision.retry_after, out);
    auto& admitted =
        requests_.emplace(event.request, std::move(state)).first->second;
    if (decision.outcome == admission::admission_outcome::dispatch)
        start_claims(admitted, now, out);
    poll_admission(now, out);
}

request_state request_flow::make_state(request_received const& event,
                                       time_point now,
                                       isolation::fingerprint content) const
{
    request_state state;
    state.id = event.request;
    state.call = event.call;
    state.input = std::make_shared<std::string const>(event.call.input);
    state.graph = dependencies_.settings.graph(event.call.pipeline);
    state.arrived = now;
    state.deadline = now + event.call.deadline;
    state.received_at = event.received_at;
    state.content = content;
    state.prefix_blocks = prefix_blocks_of(event.call.input);
    state.stages.resize(state.graph->size());
    return state;
}

void request_flow::refuse(request_received const& event, error reason,
                          duration retry_after, flow_output out)
{
    auto const& call = event.call;
    out.requests.emplace_back(request_counted{call.pipeline,
                                              call.organisation,
                                              call.work_rank,
                                              outcome::not_run,
                                              reason.kind,
                                              false,
                                              {}});
    out.requests.emplace_back(send_answer{
        event.request, not_run_answer(std::move(reason), retry_after)});
}

void request_flow::poll_admission(time_point now, flow_output out)
{
    std::vector<request_id> dispatch;
    std::vector<request_id> expired;
    dependencies_.admission.poll(now, dispatch, expired);
    for (auto id : expired)
    {
        auto const it = requests_.find(id);
        if (it != requests_.end())
            fail_request(it->second, {error_kind::deadline_unreachable, {}}, {},
                         now, out);
    }
    for (auto id : dispatch)
    {
        auto const it = requests_.find(id);
        if (it != requests_.end())
            start_claims(it->second, now, out);
    }
}

void request_flow::start_claims(request_state& request, time_point now,
                                flow_output out)
{
    if (!request.graph->needs_claim())
        return start_stages(request, now, out);
    request.phase = request_phase::claiming;
    std::vector<bookings::claim_request> wanted;
    for (stage_index n = 0; n < request.graph->size(); ++n)
    {
        if (request.graph->at(n).repeatable)
            continue;
        bool const outcome_queryable =
            dependencies_.settings.runners().outcome_source(
                request.graph->pool_of(n)) != nullptr;
        auto claim = claim_request_of(request, n, now, outcome_queryable);
        claim.request = claims_.add(request.id, n);
        wanted.push_back(std::move(claim));
    }
    request.claims_open = wanted.size();
    for (auto const& it : wanted)
        dependencies_.bookings.claim(it, now, wall_time_, pending_effects_);
    process_booking_effects(now, out);
}

void request_flow::start_stages(request_state& request, time_point now,
                                flow_output out)
{
    request.phase = request_phase::running;
    mark_needed_stages(request);
    if (all_done(request))
        return finish_request(request, completed_answer(request), now, out);
    executor_.start_ready_stages(request, now, out.requests);
    process_booking_effects(now, out);
}

bool request_flow::confirm_claim(request_state const& request, stage_index n,
                                 time_point now)
{
    auto const claim = claims_.claim_of(request.id, n);
    return claim &&
           dependencies_.bookings.dispatched(*claim, now, pending_effects_);
}

void request_flow::on_caller_gone(caller_gone const& event, time_point now,
                                  flow_output out)
{
    auto const it = requests_.find(event.request);
    if (it == requests_.end() || it->second.answered)
        return;
    fail_request(it->second, {error_kind::caller_gone, {}}, {}, now, out);
    poll_admission(now, out);
}

void request_flow::on_token(attempt_token const& event, time_point now,
                            flow_output out)
{
    auto const* const attempt = executor_.find(event.answered_attempt);
    if (attempt == nullptr)
    {
        out.requests.emplace_back(event_counted{counter::answer_late, 1.});
        return;
    }
    auto const it = requests_.find(attempt->request);
    if (it == requests_.end())
        return;
    std::vector<stage_result> results;
    executor_.on_token(it->second, event, now, out.requests, results);
    apply_results(results, now, out);
}

void request_flow::on_attempt_ended(attempt_ended const& event, time_point now,
                                    flow_output out)
{
    std::vector<stage_result> results;
    executor_.on_attempt_ended(requests_, event, now, out.requests, results);
    apply_results(results, now, out);
    poll_admission(now, out);
}

void request_flow::tick(time_point now, wall_time wall, flow_output out)
{
    wall_time_ = wall;
    std::vector<stage_result> results;
    executor_.tick(requests_, now, out.requests, results);
    apply_results(results, now, out);
    std::vector<request_id> overdue;
    for (auto const& [id, request] : requests_)
    {
        if (!request.answered && now >= request.deadline)
            overdue.push_back(id);
    }
    for (auto id : overdue)
        fail_request(requests_.at(id), {error_kind::deadline_exceeded, {}}, {},
                     now, out);
    poll_admission(now, out);
}

void request_flow::apply_results(std::vector<stage_result>& results,
                                 time_point now, flow_output out)
{
    for (auto const& it : results)
    {
        auto const found = requests_.find(it.request);
        if (found == requests_.end())
            continue;
        if (it.completed)
            on_stage_completed(found->second, it, now, out);
        else
            on_stage_failed(found->second, it, now, out);
    }
    process_booking_effects(now, out);
}

void request_flow::on_stage_completed(request_state& request,
                                      stage_result const& result,
                                      time_point now, flow_output out)
{
    auto const n = result.stage;
    dependencies_.admission.stage_finished(
        request.id, request.graph->pool_of(n), result.took, now);
    if (auto const claim = claims_.claim_of(request.id, n))
    {
        dependencies_.bookings.completed(
            *claim, request.stages[n].output->bytes, now, pending_effects_);
        claims_.remove(*claim);
    }
    if (request.answered)
        return erase_if_settled(request.id);
    if (all_done(request))
        return finish_request(request, completed_answer(request), now, out);
    executor_.start_ready_stages(request, now, out.requests);
}

void request_flow::on_stage_failed(request_state& request,
                                   stage_result const& result, time_point now,
                                   flow_output out)
{
    if (!request.answered)
        return fail_request(request, result.failure, {}, now, out);
    settle_claims(request, now, out);
    erase_if_settled(request.id);
}

void request_flow::fail_request(request_state& request, error reason,
                                duration retry_after, time_point now,
                                flow_output out)
{
    executor_.cancel(request, true, now, out.requests);
    finish_request(request,
                   failed_answer(request, std::move(reason), retry_after), now,
                   out);
}

void request_flow::finish_request(request_state& request, answer body,
                                  time_point now, flow_output out)
{
    auto const id = request.id;
    duration const took = now - request.arrived;
    auto const& call = request.call;
    auto const& rank =
        dependencies_.settings.settings().ranks[index_of(call.work_rank)];
    bool const completed = body.result_kind == outcome::completed;
    out.requests.emplace_back(request_counted{
        call.pipeline, call.organisation, call.work_rank, body.result_kind,
        body.failure.kind, completed && took <= rank.target, took});
    out.requests.emplace_back(send_answer{request.id, std::move(body)});
    request.answered = true;
    dependencies_.admission.finished(request.id, now);
    settle_claims(request, now, out);
    process_booking_effects(now, out);
    erase_if_settled(id);
}

// Settles every claim without attempts in flight. The other claims are settled
// when their last attempt ends.
void request_flow::settle_claims(request_state& request, time_point now,
                                 flow_output out)
{
    for (stage_index n = 0; n < request.stages.size(); ++n)
    {
        auto const claim = claims_.claim_of(request.id, n);
        auto const& stage = request.stages[n];
        if (!claim || !stage.attempts.empty())
            continue;
        if (stage.possible_runs == 0)
            dependencies_.bookings.not_run(*claim, now, pending_effects_);
        else
            dependencies_.bookings.outcome_lost(*claim, now, pending_effects_);
        resolve_service_queries(pending_effects_, out);
        claims_.remove(*claim);
    }
}

void request_flow::erase_if_settled(request_id id)
{
    auto const it = requests_.find(id);
    if (it == requests_.end() || !it->second.answered)
        return;
    auto const& stages = it->second.stages;
    bool const has_open_attempts = std::any_of(
        stages.begin(), stages.end(),
        [](stage_state const& stage) { return !stage.attempts.empty(); });
    if (!has_open_attempts)
        requests_.erase(it);
}

void request_flow::on_outcome_queried(outcome_queried const& event,
                                      time_point now, flow_output out)
{
    wall_time_ = event.received_at;
    if (!dependencies_.settings.ready())
    {
        return answer_query(event.request,
                            not_run_answer({error_kind::not_ready, {}}, {}),
                            out);
    }
    if (auto failure = check_organisation(dependencies_.settings.settings(),
                                          event.organisation, event.key_sha256))
    {
        return answer_query(event.request,
                            not_run_answer(std::move(failure), {}), out);
    }
    bookings::claim_request query;
    query.key.organisation = organisation_id::of(event.organisation);
    query.key.key = event.idempotency_key;
    query.key.issued_at = event.issued_at.value_or(event.received_at);
    query.request = event.request;
    query.time_left = std::chrono::seconds(1);
    dependencies_.bookings.query(query, now, wall_time_, pending_effects_);
    process_booking_effects(now, out);
}

void request_flow::on_service_outcome(service_outcome_received const& event,
                                      time_point now, flow_output out)
{
    std::optional<std::string> result;
    if (event.result == service_outcome::completed)
        result = event.output;
    dependencies_.bookings.service_answer(event.claim, std::move(result), now,
                                          pending_effects_);
    process_booking_effects(now, out);
}

} // namespace buckthornvale::decision::requests
