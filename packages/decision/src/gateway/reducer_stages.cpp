#include "active_request.hpp"
#include "milliseconds_text.hpp"
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Age from which a reported backlog is ignored.
constexpr duration backlog_lifetime = 1s;

//! Share of used result memory above which inputs are freed as soon as they are
//! read. Otherwise they are kept, because a piece that fails later needs them
//! for another attempt.
constexpr double scarce_result_memory_share = 0.5;

//! While pieces wait longer than this, requests that would miss their target
//! are refused: they would delay others that can meet theirs.
constexpr duration max_deferred_wait = 300ms;

//! Answer time that is assumed until an answer of the service is measured.
constexpr duration default_answer_time = 150ms;

//! Weight of the newest answer in the moving average.
constexpr double answer_time_ewma_weight = 0.05;

//! Maximum number of rounds of the stages of one request. Every round can lose
//! results again.
constexpr std::uint32_t max_rounds = 2;

//! Submissions without a result are repeated after this time. The scheduler
//! ignores known pieces.
constexpr duration resubmit_interval = 1500ms;

std::string waiting_by_rank_text(stage_scheduler const& scheduler)
{
    std::string out;
    for (auto const& it : scheduler.waiting_by_rank())
        out += (out.empty() ? "" : ",") + std::to_string(it.first) + ":" +
               std::to_string(it.second);
    return out;
}

} // namespace

stage_scheduler& reducer::scheduler(std::string const& service)
{
    auto const found = schedulers_.find(service);
    if (found != schedulers_.end())
        return found->second;
    auto& out = schedulers_.try_emplace(service, service).first->second;
    if (manifest_ != nullptr)
        if (auto const* service_settings = manifest_->find_service(service);
            service_settings != nullptr && service_settings->pieces)
            out.configure(*service_settings->pieces);
    return out;
}

backlog const* reducer::fresh_backlog(std::string const& service,
                                      time_point now) const
{
    auto const known = backlogs_.find(service);
    if (known == backlogs_.end() || now - known->second.at >= backlog_lifetime)
        return nullptr;
    return &known->second.value;
}

bool reducer::is_result_memory_scarce(active_request const& request,
                                      std::uint32_t stage, time_point now) const
{
    for (auto const after : request.pipeline.stage(stage).after)
        if (auto const* known =
                fresh_backlog(request.pipeline.stage(after).service, now);
            known != nullptr &&
            known->result_memory_share > scarce_result_memory_share)
            return true;
    return false;
}

reducer::stage_estimate reducer::estimate_stages(active_request const& request,
                                                 time_point now) const
{
    stage_estimate out;
    out.answer = average_answer_time(request.service);
    for (std::uint32_t n = 0; n < request.pipeline.size(); ++n)
    {
        auto const& service = request.pipeline.stage(n).service;
        duration time{};
        auto const* service_settings =
            request.arrival_manifest->find_service(service);
        if (service_settings != nullptr && service_settings->pieces)
            time = service_settings->pieces->call_time +
                   service_settings->pieces->piece_time *
                       request.pipeline.piece_count(n);
        if (auto const* known = fresh_backlog(service, now))
            time = std::max(time, known->average_call_time);
        out.stages.push_back(time);
    }
    return out;
}

duration reducer::time_to_answer(active_request const& request,
                                 stage_estimate const& estimate,
                                 std::uint32_t stage)
{
    return request.pipeline.remaining_time(stage, estimate.stages) +
           estimate.answer;
}

duration reducer::expected_answer_time(active_request const& request,
                                       stage_estimate const& estimate,
                                       queue_position const& position,
                                       time_point now) const
{
    std::vector<duration> waits;
    for (std::uint32_t n = 0; n < request.pipeline.size(); ++n)
    {
        // Later stages are due later, so more pieces are served before theirs.
        auto const start_due_in =
            position.due_in - time_to_answer(request, estimate, n);
        auto const* known =
            fresh_backlog(request.pipeline.stage(n).service, now);
        waits.push_back(known != nullptr
                            ? known->waits.at(position.priority, start_due_in)
                            : duration());
    }
    return request.pipeline.finish_time(estimate.stages, waits) +
           estimate.answer;
}

duration reducer::average_answer_time(std::string const& service) const
{
    auto const known = answer_times_.find(service);
    return known == answer_times_.end() ? default_answer_time : known->second;
}

void reducer::record_answer_time(std::string const& service, duration elapsed)
{
    auto& average =
        answer_times_.try_emplace(service, default_answer_time).first->second;
    average +=
        from_seconds(answer_time_ewma_weight * to_seconds(elapsed - average));
}

reducer::forecast reducer::forecast_stages(active_request const& request,
                                           time_point now) const
{
    auto const estimate = estimate_stages(request, now);
    std::vector<duration> const no_waits(estimate.stages.size());
    auto const needed =
        request.pipeline.finish_time(estimate.stages, no_waits) +
        estimate.answer;
    forecast out;
    auto priority = request.priority();
    out.on_schedule = expected_answer_time(request, estimate,
                                           {priority, request.due - now}, now);
    priority.deferred = true;
    out.deferred = expected_answer_time(
        request, estimate, {priority, request.deadline - now}, now);
    out.queue_wait = out.deferred - needed;
    return out;
}

bool reducer::admit_stages(active_request& request, time_point now)
{
    auto const expected = forecast_stages(request, now);
    if (now + expected.on_schedule <= request.due)
        return now + expected.on_schedule <= request.deadline;
    if (expected.queue_wait <= max_deferred_wait &&
        now + expected.deferred <= request.deadline)
    {
        request.due = request.deadline;
        request.deferred = true;
        return true;
    }
    log("stages_overloaded", &request,
        {{"route", request.matched_route->name},
         {"rank", std::to_string(request.rank)},
         {"reused_connection",
          request.traits.on_reused_connection ? "true" : "false"},
         {"left_ms", milliseconds_text(request.deadline - now)},
         {"due_in_ms", milliseconds_text(request.due - now)},
         {"expected_ms", milliseconds_text(expected.on_schedule)},
         {"queue_wait_ms", milliseconds_text(expected.queue_wait)},
         {"answer_ms",
          milliseconds_text(average_answer_time(request.service))}});
    return false;
}

void reducer::advance(active_request& request, time_point now)
{
    release_stage_results(request.pipeline.take_unneeded_results(), now);
    if (request.pipeline.complete())
        start_attempt(request, now);
    else
        start_stages(request, now);
}

void reducer::announce_later_stages(active_request& request, time_point now)
{
    auto const estimate = estimate_stages(request, now);
    std::map<std::string, announce_stages> by_scheduler;
    for (std::uint32_t n = 0; n < request.pipeline.size(); ++n)
    {
        auto const& stage = request.pipeline.stage(n);
        auto const pieces = request.pipeline.piece_count(n);
        if (stage.after.empty() || pieces == 0)
            continue;
        announced_stage out;
        out.service = stage.service;
        out.request = request.ref;
        out.stage = n;
        out.pieces = std::uint32_t(pieces);
        out.priority = request.priority();
        out.due_in = request.due - now - time_to_answer(request, estimate, n);
        by_scheduler[members_.owner(stage.service, now)].stages.push_back(
            std::move(out));
    }
    for (auto& it : by_scheduler)
    {
        request.announced_to.insert(it.first);
        send_message(it.first, std::move(it.second), now);
    }
}

void reducer::start_stages(active_request& request, time_point now)
{
    for (auto const n : request.pipeline.start_ready_stages())
        submit_missing_pieces(request, n, now);
    // The pipeline may already be complete if its stages have no pieces.
    if (request.pipeline.complete() && !request.in_flight)
        start_attempt(request, now);
}

std::string reducer::preferred_domain(active_request const& request,
                                      std::uint32_t n) const
{
    auto const& stage = request.pipeline.stage(n);
    double input_bytes = 0;
    for (auto const after : stage.after)
        input_bytes += request.pipeline.stage(after).result_bytes *
                       request.pipeline.piece_count(after);
    auto const inputs = request.pipeline.inputs_of(n);
    std::string expected;
    if (runners_.is_reachable_domain(request.expected_domain))
        expected = request.expected_domain;
    if (inputs.empty() || input_bytes < stage.result_bytes)
        return expected;
    // Each piece fetches all inputs, so it should run in the domain that holds
    // them.
    auto const& handle = inputs.front();
    auto const domain = runners_.failure_domain_of(address_of(handle));
    bool const usable = !domain.empty() && runners_.is_reachable_domain(domain);
    return usable ? std::string(domain) : expected;
}

void reducer::submit_missing_pieces(active_request& request, std::uint32_t n,
                                    time_point now)
{
    auto const& stage = request.pipeline.stage(n);
    auto const& owner = members_.owner(stage.service, now);
    auto const inputs = request.pipeline.inputs_of(n);
    auto const after =
        time_to_answer(request, estimate_stages(request, now), n);
    auto const latest_start_in = request.deadline - after - now;
    auto const domain = preferred_domain(request, n);
    submit_pieces message;
    for (auto const number : request.pipeline.missing_pieces(n))
    {
        piece work;
        work.request = request.ref;
        work.round = request.pipeline.round();
        work.request_id = request.traits.id;
        work.service = stage.service;
        work.stage = n;
        work.number = number;
        if (inputs.empty())
            work.key = request.traits.piece_key;
        else
            work.inputs = inputs;
        work.domain = domain;
        work.result_bytes = stage.result_bytes;
        work.priority = request.priority();
        work.due_in = request.due - after - now;
        work.latest_start_in = latest_start_in;
        work.time_left = request.deadline - now;
        message.pieces.push_back(std::move(work));
    }
    if (message.pieces.empty())
        return;
    request.owners[n] = owner;
    request.submitted_at[n] = now;
    log("stage_submitted", &request,
        {{"stage", std::to_string(n)},
         {"service", stage.service},
         {"scheduler", owner},
         {"pieces", std::to_string(message.pieces.size())},
         {"due_in_ms", milliseconds_text(message.pieces.front().due_in)},
         {"domain", domain}});
    send_message(owner, std::move(message), now);
}

void reducer::handle_piece_result(piece_result const& result, time_point now)
{
    auto const found = requests_.find(result.request);
    bool const succeeded = result.outcome == piece_outcome::done;
    if (found == requests_.end() ||
        (succeeded && !found->second->pipeline.add_result(result)))
    {
        if (succeeded)
            release_stage_results({{result.service, result.handle}}, now);
        return;
    }
    auto& request = *found->second;
    if (result.stage >= request.pipeline.size() ||
        result.round != request.pipeline.round())
        return;
    if (result.outcome == piece_outcome::inputs_read)
    {
        if (!is_result_memory_scarce(request, result.stage, now))
            return;
        request.pipeline.mark_inputs_read(result);
        release_stage_results(request.pipeline.take_unneeded_results(), now);
        return;
    }
    if (succeeded)
    {
        if (!request.pipeline.awaits_results(result.stage))
            advance(request, now);
        return;
    }
    auto const missing = request.pipeline.missing_pieces(result.stage);
    if (request.in_flight || std::find(missing.begin(), missing.end(),
                                       result.number) == missing.end())
        return;
    log("piece_failed", &request,
        {{"stage", std::to_string(result.stage)},
         {"outcome", std::to_string(static_cast<int>(result.outcome))}});
    if (result.outcome == piece_outcome::input_gone &&
        restart_stages(request, now))
        return;
    fail_request(request,
                 result.outcome == piece_outcome::late ||
                         result.outcome == piece_outcome::overloaded
                     ? refusal::cannot_finish_in_time
                     : refusal::stage_failed,
                 now);
}

bool reducer::may_restart_stages(active_request const& request) const
{
    return !request.pipeline.empty() &&
           request.pipeline.round() + 1 < max_rounds;
}

bool reducer::restart_stages(active_request& request, time_point now)
{
    if (!may_restart_stages(request))
        return false;
    // The request is sent again after its stages, which counts as a retry.
    if (request.sends > 0 &&
        !retry_budget_.try_consume(request.service, members_.count(), now))
        return false;
    request.pipeline.restart();
    request.tried_runners.clear();
    advance(request, now);
    return true;
}

void reducer::release_stage_results(
    std::vector<std::pair<std::string, std::string>> results, time_point now)
{
    std::map<std::string, release_results> by_service;
    for (auto& it : results)
    {
        auto& message = by_service[it.first];
        message.service = it.first;
        message.handles.push_back(std::move(it.second));
    }
    for (auto& it : by_service)
        send_message(members_.owner(it.first, now), std::move(it.second), now);
}

void reducer::log_calls(std::string const& service, std::size_t from)
{
    std::vector<log_decision> lines;
    for (std::size_t n = from; n < out_.size(); ++n)
    {
        auto const* call = std::get_if<call_stage>(&out_[n]);
        if (call == nullptr)
            continue;
        std::map<std::string, std::size_t> pieces;
        for (auto const& it : call->pieces)
            ++pieces[it.request_id];
        for (auto const& it : pieces)
            lines.push_back({"pieces_called",
                             it.first,
                             {{"service", service},
                              {"call", std::to_string(call->call)},
                              {"runner", call->runner_id},
                              {"pieces", std::to_string(it.second)}}});
    }
    for (auto& it : lines)
        out_.push_back(std::move(it));
}

void reducer::run_schedulers(time_point now)
{
    dispatch_needed_ = false;
    std::map<std::string, return_results> by_member;
    for (auto& it : schedulers_)
    {
        auto const before = out_.size();
        it.second.dispatch(runners_, next_call_, now, out_);
        log_calls(it.first, before);
        auto results = it.second.take_results();
        if (results.empty())
            continue;
        backlog const current = {
            it.first, it.second.expected_waits(runners_, now),
            it.second.average_call_time(), it.second.result_memory_share()};
        std::set<std::string> notified;
        for (auto& result : results)
        {
            auto& message = by_member[result.member];
            if (notified.insert(result.member).second)
                message.backlogs.push_back(current);
            message.results.push_back(std::move(result.result));
        }
    }
    for (auto& it : by_member)
        send_message(it.first, std::move(it.second), now);
    // Results for this VM may have started further stages.
    if (dispatch_needed_)
        run_schedulers(now);
}

void reducer::on(stage_call_ended const& in, time_point now)
{
    for (auto& it : schedulers_)
        if (it.second.owns_call(in.call))
        {
            auto const address = it.second.address_of_call(in.call);
            auto const origin = it.second.call_ended(in, runners_, now);
            if (origin == answer_origin::repeated)
                log("repeated_stage_answer", nullptr,
                    {{"service", it.first},
                     {"call", std::to_string(in.call)},
                     {"address", address}});
            if (origin != answer_origin::own)
                out_.push_back(close_idle_connections{address});
            log("stage_call_ended", nullptr,
                {{"service", it.first},
                 {"call", std::to_string(in.call)},
                 {"outcome", std::to_string(static_cast<int>(in.outcome))},
                 {"pieces", std::to_string(in.pieces.size())},
                 {"waiting", std::to_string(it.second.waiting())},
                 {"waiting_by_rank", waiting_by_rank_text(it.second)},
                 {"no_room", std::to_string(std::count_if(
                                 in.pieces.begin(), in.pieces.end(),
                                 [](piece_call_result const& piece)
                                 { return piece.no_room; }))},
                 {"room_share",
                  std::to_string(it.second.result_memory_share())}});
            break;
        }
    dispatch_needed_ = true;
}

void reducer::on(stage_results_freed const& in, time_point)
{
    for (auto& it : schedulers_)
        it.second.results_freed(in.call);
    dispatch_needed_ = true;
}

void reducer::resubmit_from(std::string const& member, time_point now)
{
    for (auto& entry : requests_)
    {
        auto& request = *entry.second;
        std::vector<std::uint32_t> stages;
        for (auto const& owner : request.owners)
            if (owner.second == member &&
                request.pipeline.awaits_results(owner.first))
                stages.push_back(owner.first);
        for (auto const n : stages)
            submit_missing_pieces(request, n, now);
    }
}

void reducer::probe_owners(time_point input_until, time_point now)
{
    // A scheduler that owes results is probed after this time without an
    // answer.
    constexpr duration probe_interval = 300ms;
    std::set<std::string> awaited_members;
    std::vector<std::pair<active_request*, std::uint32_t>> overdue;
    for (auto& entry : requests_)
    {
        auto& request = *entry.second;
        for (auto const& owner : request.owners)
        {
            if (!request.pipeline.awaits_results(owner.first))
                continue;
            if (owner.second != members_.self())
                awaited_members.insert(owner.second);
            if (input_until - request.submitted_at[owner.first] >
                resubmit_interval)
                overdue.emplace_back(&request, owner.first);
        }
    }
    for (auto const& it : overdue)
        submit_missing_pieces(*it.first, it.second, now);
    for (auto const& name : awaited_members)
    {
        if (input_until - members_.last_answer_time(name) < probe_interval ||
            now - probed_at_[name] < probe_interval)
            continue;
        probed_at_[name] = now;
        send_message(name, submit_pieces{}, now);
    }
}

} // namespace buckthornvale::decision::gateway
