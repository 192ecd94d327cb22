#include <buckthornvale/decision/requests/answers.hpp>
#include <buckthornvale/decision/requests/request_flow.hpp>

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

namespace buckthornvale::decision::requests
{

namespace
{

// Retry advice for callers whose earlier request with the same key is not
// settled.
constexpr duration pending_retry_after = std::chrono::seconds(1);

template <class Decision>
constexpr bool is_claim_decision =
    std::is_same_v<Decision, bookings::claim_granted> ||
    std::is_same_v<Decision, bookings::claim_duplicate> ||
    std::is_same_v<Decision, bookings::claim_refused> ||
    std::is_same_v<Decision, bookings::claim_unavailable> ||
    std::is_same_v<Decision, bookings::claim_unsettled> ||
    std::is_same_v<Decision, bookings::claim_absent>;

error reason_of(bookings::claim_state state)
{
    bool const unknown = state == bookings::claim_state::unknown;
    return {unknown ? error_kind::outcome_unknown : error_kind::outcome_pending,
            {}};
}

} // namespace

void request_flow::on_booking_effects(bookings::booking_effects& effects,
                                      time_point now, flow_output out)
{
    std::move(effects.begin(), effects.end(),
              std::back_inserter(pending_effects_));
    effects.clear();
    process_booking_effects(now, out);
}

void request_flow::process_booking_effects(time_point now, flow_output out)
{
    while (!pending_effects_.empty())
    {
        auto batch = std::exchange(pending_effects_, {});
        // Must precede the decisions, which remove claims and requests.
        resolve_service_queries(batch, out);
        for (auto const& item : batch)
        {
            std::visit(
                [&](auto const& it)
                {
                    using decision = std::decay_t<decltype(it)>;
                    if constexpr (is_claim_decision<decision>)
                        apply(it, now, out);
                    else
                        out.store.emplace_back(it);
                },
                item);
        }
    }
}

void request_flow::apply(bookings::claim_granted const& decision,
                         time_point now, flow_output out)
{
    auto const claimed = claims_.find(decision.request);
    if (!claimed)
        return;
    auto const it = requests_.find(claimed->request);
    if (it == requests_.end() || it->second.answered)
    {
        dependencies_.bookings.not_run(decision.request, now, pending_effects_);
        claims_.remove(decision.request);
        return;
    }
    if (--it->second.claims_open == 0)
        start_stages(it->second, now, out);
}

void request_flow::apply(bookings::claim_duplicate const& decision,
                         time_point now, flow_output out)
{
    auto const claimed = claims_.find(decision.request);
    if (!claimed)
    {
        answer body = unknown_outcome_answer(reason_of(decision.state),
                                             pending_retry_after);
        if (decision.state == bookings::claim_state::completed)
        {
            body.result_kind = outcome::completed;
            body.failure = {};
            body.retry_after = {};
            body.result = std::make_shared<stage_output const>(
                stage_output{decision.result.bytes, false});
        }
        answer_query(decision.request, std::move(body), out);
        return;
    }
    claims_.remove(decision.request);
    auto const it = requests_.find(claimed->request);
    if (it == requests_.end() || it->second.answered)
        return;
    use_earlier_result(it->second, claimed->stage, decision, now, out);
}

void request_flow::use_earlier_result(request_state& request, stage_index n,
                                      bookings::claim_duplicate const& decision,
                                      time_point now, flow_output out)
{
    out.requests.emplace_back(event_counted{counter::booking_duplicate, 1.});
    bool const completed = decision.state == bookings::claim_state::completed;
    if (!completed || decision.result.truncated)
    {
        error reason = reason_of(decision.state);
        if (completed)
        {
            reason = {error_kind::outcome_unknown,
                      "it ran, but its result was too large to keep"};
        }
        executor_.cancel(request, true, now, out.requests);
        auto body =
            unknown_outcome_answer(std::move(reason), pending_retry_after);
        add_outcome_key(body, request);
        return finish_request(request, std::move(body), now, out);
    }
    auto& stage = request.stages[n];
    stage.output = std::make_shared<stage_output const>(
        stage_output{decision.result.bytes, false});
    stage.phase = stage_phase::done;
    if (--request.claims_open == 0)
        start_stages(request, now, out);
}

void request_flow::apply(bookings::claim_refused const& decision,
                         time_point now, flow_output out)
{
    auto const claimed = claims_.find(decision.request);
    if (!claimed)
    {
        return answer_query(decision.request,
                            not_run_answer(decision.reason, {}), out);
    }
    claims_.remove(decision.request);
    auto const it = requests_.find(claimed->request);
    if (it != requests_.end() && !it->second.answered)
        fail_request(it->second, decision.reason, {}, now, out);
}

void request_flow::apply(bookings::claim_unavailable const& decision,
                         time_point now, flow_output out)
{
    error const reason{error_kind::store_unavailable, {}};
    auto const claimed = claims_.find(decision.request);
    if (!claimed)
    {
        return answer_query(
            decision.request,
            unknown_outcome_answer({error_kind::outcome_pending, {}},
                                   decision.retry_after),
            out);
    }
    claims_.remove(decision.request);
    auto const it = requests_.find(claimed->request);
    if (it != requests_.end() && !it->second.answered)
        fail_request(it->second, reason, decision.retry_after, now, out);
}

void request_flow::apply(bookings::claim_unsettled const& decision,
                         time_point now, flow_output out)
{
    auto const claimed = claims_.find(decision.request);
    if (!claimed)
    {
        return answer_query(
            decision.request,
            unknown_outcome_answer({error_kind::outcome_pending, {}},
                                   pending_retry_after),
            out);
    }
    claims_.remove(decision.request);
    auto const it = requests_.find(claimed->request);
    if (it == requests_.end() || it->second.answered)
        return;
    executor_.cancel(it->second, true, now, out.requests);
    auto body = unknown_outcome_answer({error_kind::deadline_exceeded, {}},
                                       pending_retry_after);
    add_outcome_key(body, it->second);
    finish_request(it->second, std::move(body), now, out);
}

void request_flow::apply(bookings::claim_absent const& decision, time_point,
                         flow_output out)
{
    answer_query(decision.request,
                 not_run_answer({error_kind::unknown_key, {}}, {}), out);
}

void request_flow::resolve_service_queries(bookings::booking_effects& batch,
                                           flow_output out)
{
    auto const resolve = [&](auto const& it)
    {
        auto const* const service_query =
            std::get_if<bookings::query_service>(&it);
        if (service_query == nullptr)
            return false;
        if (auto const source = outcome_source_of(service_query->request))
        {
            out.requests.emplace_back(query_service_outcome{
                service_query->id, source->service_key, source->runner.id,
                source->runner.host, source->runner.port});
        }
        return true;
    };
    batch.erase(std::remove_if(batch.begin(), batch.end(), resolve),
                batch.end());
}

std::optional<outcome_source>
request_flow::outcome_source_of(request_id claim) const
{
    auto const claimed = claims_.find(claim);
    if (!claimed)
        return std::nullopt;
    auto const it = requests_.find(claimed->request);
    if (it == requests_.end())
        return std::nullopt;
    auto const* const runner = dependencies_.settings.runners().outcome_source(
        it->second.graph->pool_of(claimed->stage));
    if (runner == nullptr)
        return std::nullopt;
    return outcome_source{*runner, service_key_of(it->second, claimed->stage)};
}

void request_flow::answer_query(request_id query, answer body, flow_output out)
{
    out.requests.emplace_back(send_answer{query, std::move(body)});
}

} // namespace buckthornvale::decision::requests
