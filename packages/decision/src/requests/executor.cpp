#include <buckthornvale/decision/requests/executor.hpp>

namespace buckthornvale::decision::requests
{

namespace
{

// A non-repeatable attempt is kept open beyond the caller's deadline, so that a
// late answer can still settle its claim.
constexpr duration late_outcome_wait = std::chrono::seconds(30);

// Minimum time budget for starting an attempt.
constexpr duration min_budget = std::chrono::milliseconds(1);

} // namespace

executor::executor(executor_dependencies dependencies,
                   failure_domain_id local_domain, std::uint64_t incarnation)
    : dependencies_(dependencies), local_domain_(local_domain),
      attempts_(incarnation)
{
}

void executor::start_ready_stages(request_state& request, time_point now,
                                  effect_list& out)
{
    for (stage_index n = 0; n < request.stages.size(); ++n)
    {
        if (is_startable(request, n))
            start(request, n, now, out);
    }
}

duration executor::budget_for(request_state const& request, stage_index n,
                              time_point now) const
{
    if (!request.graph->at(n).repeatable)
        return request.deadline - now;
    return dependencies_.deadline_split.budget(request.graph->path_from(n),
                                               request.deadline, now);
}

std::optional<runner_id> executor::choose_runner(request_state const& request,
                                                 stage_index n,
                                                 routing::route_query& query,
                                                 time_point now)
{
    auto const& settings = request.graph->at(n);
    query.pool = request.graph->pool_of(n);
    query.local_domain = local_domain_;
    query.prefix_blocks = request.prefix_blocks;
    query.model = settings.model.empty() ? 0 : stable_hash(settings.model);
    query.adapter =
        settings.adapter.empty() ? 0 : stable_hash(settings.adapter);
    query.expected_work = settings.expected;
    query.exclude = request.stages[n].tried_runners;
    query.repeatable = settings.repeatable;
    auto const runner = dependencies_.router.choose(query, now);
    if (!runner || dependencies_.runners.find(*runner) == nullptr ||
        !dependencies_.isolation.may_share(*runner, request.content, now))
    {
        return std::nullopt;
    }
    return runner;
}

bool executor::start(request_state& request, stage_index n, time_point now,
                     effect_list& out)
{
    auto& stage = request.stages[n];
    auto const& settings = request.graph->at(n);
    duration const budget = budget_for(request, n, now);
    auto const decision = dependencies_.isolation.check(request.content, now);
    if (budget < min_budget ||
        decision == isolation::isolation_decision::refused)
        return false;
    routing::route_query query;
    query.needs_empty_runner =
        decision == isolation::isolation_decision::run_alone;
    auto const runner = choose_runner(request, n, query, now);
    if (!runner)
        return false;
    if (!settings.repeatable && stage.attempt_count == 0 &&
        !dependencies_.guard.confirm_claim(request, n, now))
    {
        return false;
    }

    auto& attempt = attempts_.add(request.id, n, *runner, now, budget);
    attempt.runner_reserved = query.needs_empty_runner;
    if (!settings.repeatable)
        attempt.expires = request.deadline + late_outcome_wait;
    dependencies_.router.sent(*runner, attempt.id, query, now);
    if (query.needs_empty_runner)
        dependencies_.router.set_reserved(*runner, true, now);
    dependencies_.isolation.attempt_started(*runner, request.content, now);
    if (stage.attempt_count == 0)
    {
        stage.first_started = now;
        dependencies_.retry_budget.record_first_attempt();
    }
    stage.phase = stage_phase::running;
    stage.attempts.push_back(attempt.id);
    stage.tried_runners.push_back(*runner);
    ++stage.attempt_count;
    ++stage.possible_runs;
    out.emplace_back(make_start_attempt(request, attempt, budget));
    out.emplace_back(event_counted{counter::attempt_started, 1.});
    return true;
}

start_attempt executor::make_start_attempt(request_state const& request,
                                           attempt_state const& attempt,
                                           duration budget) const
{
    auto const& settings = request.graph->at(attempt.stage);
    auto const& stage = request.stages[attempt.stage];
    auto const& runner = *dependencies_.runners.find(attempt.runner);
    start_attempt call;
    call.attempt = attempt.id;
    call.request = request.id;
    call.runner = attempt.runner;
    call.host = runner.host;
    call.port = runner.port;
    call.kind = runner.kind;
    call.stage = settings.name;
    call.model = settings.model;
    call.adapter = settings.adapter;
    call.input = request.input;
    for (auto k : request.graph->inputs_of(attempt.stage))
    {
        call.results.push_back(
            {request.graph->at(k).name, request.stages[k].output});
    }
    call.budget = budget;
    call.priority = request.call.work_rank;
    call.stream = settings.stream;
    call.resume_from = stage.tokens.next_index();
    if (!settings.repeatable)
        call.idempotency_key = service_key_of(request, attempt.stage);
    return call;
}

std::map<std::uint64_t, double>
executor::attempts_by_model(request_table const& requests) const
{
    std::map<std::uint64_t, double> counts;
    for (auto const& [id, request] : requests)
    {
        for (stage_index n = 0; n < request.stages.size(); ++n)
        {
            auto const& model = request.graph->at(n).model;
            auto const running = request.stages[n].attempts.size();
            if (!model.empty() && running > 0)
                counts[stable_hash(model)] += static_cast<double>(running);
        }
    }
    return counts;
}

void executor::tick(request_table& requests, time_point now, effect_list& out,
                    std::vector<stage_result>& results)
{
    std::vector<attempt_id> expired;
    attempts_.expired(now, expired);
    for (auto id : expired)
    {
        auto const* const found = attempts_.find(id);
        if (found == nullptr)
            continue;
        auto const attempt = *found;
        auto const it = requests.find(attempt.request);
        if (it == requests.end())
            continue;
        attempt_ended event;
        event.call = id;
        event.answered_attempt = id;
        event.result = attempt.call_open ? attempt_outcome::timed_out
                                         : attempt_outcome::connection_lost;
        event.detail = attempt.call_open ? "no answer within the stage's budget"
                                         : "the runner's answer never came";
        event.took = now - attempt.started;
        out.emplace_back(cancel_attempt{id, attempt.runner});
        fail(it->second, attempt, event, now, out, results);
    }
    for (auto& [id, request] : requests)
    {
        if (request.phase != request_phase::running || request.answered)
            continue;
        start_ready_stages(request, now, out);
        start_due_hedges(request, now, out);
    }
}

retry::hedge_query executor::hedge_query_of(request_state const& request,
                                            stage_index n,
                                            attempt_state const& first) const
{
    auto const& settings = request.graph->at(n);
    retry::hedge_query query;
    query.stage = request.graph->path_from(n).front();
    query.repeatable = settings.repeatable;
    query.hedging_enabled = settings.hedge;
    query.hedged = request.stages[n].attempts.size() > 1;
    query.started = first.started;
    query.deadline = first.expires;
    return query;
}

void executor::start_due_hedges(request_state& request, time_point now,
                                effect_list& out)
{
    for (stage_index n = 0; n < request.stages.size(); ++n)
    {
        auto const& stage = request.stages[n];
        if (stage.attempts.size() != 1 || request.graph->at(n).stream)
            continue;
        auto const* const first = attempts_.find(stage.attempts.front());
        if (first == nullptr)
            continue;
        auto const query = hedge_query_of(request, n, *first);
        if (!dependencies_.hedge_policy.may_hedge(
                query, dependencies_.deadline_split, dependencies_.retry_budget,
                now))
            continue;
        if (start(request, n, now, out))
            out.emplace_back(event_counted{counter::attempt_hedged, 1.});
        else
            dependencies_.retry_budget.refund();
    }
}

} // namespace buckthornvale::decision::requests
