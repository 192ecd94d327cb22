#include "admission_state.hpp"

#include <buckthornvale/decision/admission/capacity_share.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::admission::detail
{

namespace
{

//! How often capacity shares are recomputed from demand; summaries arrive once
//! a second.
constexpr duration refresh_period = std::chrono::milliseconds(100);

//! Relative jitter of retry_after, so that refused callers do not all retry at
//! the same time.
constexpr double retry_jitter = 0.25;

//! Slots assumed for the cost of work in a pool of unknown capacity, and the
//! minimum for a known one.
constexpr double assumed_slots = 1.0;

//! Mean absolute deviations added to the mean residence. A request that can
//! start at once is refused only when it is unlikely to finish in time. A
//! request that has waited leaves the queue earlier, because under overload
//! others can use the slots, and the work of a request that misses its deadline
//! is wasted.
constexpr double start_margin_deviations = 1.0;
constexpr double queue_margin_deviations = 4.0;

//! Fraction of the fair level up to which an organisation counts as light.
constexpr double light_rate_fraction = 0.8;

//! Factor on the bounds of a rank within which light organisations together may
//! dispatch. Their average demand is below their fair shares, so an excess is a
//! short burst.
constexpr double light_bound_factor = 3.0;

constexpr duration no_runner_retry_delay = std::chrono::seconds(1);
constexpr duration queue_full_retry_delay = std::chrono::seconds(1);

organisation_limits const default_limits;

} // namespace

admission_state::admission_state(admission_settings const& values,
                                 std::uint64_t seed)
    : settings(values), policy(make_ordering_policy(values.order)),
      traits(policy->traits()), random(seed),
      organisations(values.organisation_idle_timeout,
                    values.demand_time_constant),
      demand(values.summary_organisations, values.demand_time_constant),
      peers(values.summary_lifetime, values.fleet_size_window)
{
}

organisation_limits const& admission_state::limits_of(organisation_id id) const
{
    auto const it = limits.find(id);
    return it == limits.end() ? default_limits : it->second;
}

std::uint32_t admission_state::pool_index(pool_id id)
{
    auto const next = static_cast<std::uint32_t>(pools.size());
    auto const [it, added] = pool_indices.try_emplace(id, next);
    if (added)
        pools.emplace_back(id);
    return it->second;
}

std::uint32_t
admission_state::path_index(absl::Span<tracked_stage const> stages)
{
    absl::InlinedVector<std::uint32_t, inline_stage_count> order;
    for (auto const& it : stages)
        order.push_back(it.pool);
    auto const key =
        XXH3_64bits(order.data(), order.size() * sizeof(std::uint32_t));
    auto const next = static_cast<std::uint32_t>(paths.size());
    auto const [it, added] = path_indices.try_emplace(key, next);
    if (added)
        paths.emplace_back();
    return it->second;
}

void admission_state::refresh(time_point now)
{
    if (!needs_refresh && now - last_refresh < refresh_period)
        return;
    needs_refresh = false;
    last_refresh = now;
    peers.refresh(now);
    std::vector<pool_capacity> capacities;
    for (auto const& it : pools)
        capacities.push_back({it.id(), it.fleet_slots().value_or(0.0)});
    auto const division =
        divide_pools(capacities, demand.summary(pools, organisations, now),
                     peers, ranks.ranks(),
                     [&](organisation_id id) { return limits_of(id).weight; });
    for (std::size_t i = 0; i < pools.size(); ++i)
        pools[i].set_share(division.shares[i]);
    fair_level = division.fair_level;
}

admission_decision admission_state::check_limits(
    organisation_record& record,
    organisation_limits const& organisation_limits_in_force, time_point now)
{
    auto const rate = organisation_limits_in_force.requests_per_second;
    auto const concurrent = organisation_limits_in_force.concurrent;
    if (rate <= 0.0 && concurrent == 0)
        return {admission_outcome::dispatch, error_kind::none, {}};
    auto const share = share_of_limit(record, peers);
    if (concurrent > 0 && !within_concurrency_share(record, concurrent, share))
        return refuse(error_kind::too_many_concurrent, {});
    if (rate > 0.0 &&
        !take_rate_token(record, rate, settings.rate_burst, share, now))
        return refuse(error_kind::rate_limited,
                      rate_retry_after(record, rate, share));
    return {admission_outcome::dispatch, error_kind::none, {}};
}

admission_decision
admission_state::check_deadline(tracked_request const& request,
                                organisation_record const& record,
                                time_point now)
{
    if (request.deadline <= now)
        return refuse(error_kind::deadline_passed, {});
    if (!traits.deadline_checks)
        return {admission_outcome::dispatch, error_kind::none, {}};
    auto const& estimate =
        paths[request.path].residence[index_of(request.work_rank)];
    if (may_dispatch_now(request, now))
    {
        auto const needed = estimate.predict(request.expected_total,
                                             start_margin_deviations, now);
        return now + needed <= request.deadline
                   ? admission_decision{admission_outcome::dispatch, {}, {}}
                   : refuse(error_kind::deadline_unreachable, {});
    }
    auto const wait = predicted_wait(request, record, now);
    if (now + wait > request.expires)
        return refuse(error_kind::deadline_unreachable, wait);
    return {admission_outcome::dispatch, error_kind::none, {}};
}

// Dynamic threshold: an organisation may queue as many requests as there are
// free places. One caller cannot fill the queue, yet a few can use all of it.
bool admission_state::queue_full(organisation_record const& record,
                                 rank r) const
{
    auto const used = queued[index_of(r)];
    auto const room =
        settings.queue_capacity - std::min(used, settings.queue_capacity);
    return record.queued[index_of(r)] >= room;
}

bool admission_state::lacks_runner(tracked_request const& request) const
{
    return std::any_of(
        request.stages.begin(), request.stages.end(),
        [&](auto const& it)
        { return pools[it.pool].fleet_slots().value_or(1.0) <= 0.0; });
}

tracked_request
admission_state::make_tracked_request(admission_request const& request,
                                      organisation_record const& record,
                                      time_point now)
{
    tracked_request out;
    out.id = request.request;
    out.organisation = request.organisation;
    out.work_rank = request.work_rank;
    out.deadline = request.deadline;
    out.expected_total = request.expected_total;
    for (auto const& it : request.stages)
    {
        tracked_stage stage;
        stage.pool = pool_index(it.pool);
        stage.expected = to_seconds(it.expected_work);
        stage.committed = stage.expected * pools[stage.pool].work_ratio();
        out.cost +=
            stage.expected /
            std::max(pools[stage.pool].fleet_slots().value_or(assumed_slots),
                     assumed_slots);
        out.stages.push_back(stage);
    }
    out.path = path_index(out.stages);
    auto const r = index_of(request.work_rank);
    out.weight = static_cast<float>(
        local_weight(limits_of(request.organisation).weight,
                     record.cost_rate[r] +
                         out.cost / to_seconds(settings.demand_time_constant),
                     peers.organisation(request.organisation).cost_rate[r]));
    out.bound_factor = bound_factor(out, record);
    out.expires = request.deadline;
    if (traits.deadline_checks)
    {
        auto const slack = request.deadline - now - request.expected_total;
        auto const wait =
            from_seconds(to_seconds(slack) * settings.queue_slack_part);
        out.expires =
            std::min(out.deadline - paths[out.path].residence[r].predict(
                                        request.expected_total,
                                        queue_margin_deviations, now),
                     now + wait);
    }
    out.position.sequence = ++arrival_count;
    if (traits.least_slack)
        out.position.key = out.expires.time_since_epoch().count();
    return out;
}

void admission_state::record_demand(tracked_request const& request,
                                    organisation_record& record, time_point now)
{
    demand.add_cost(record, request.work_rank, request.cost, now);
    double holding_time = 0.0;
    for (auto const& it : request.stages)
    {
        holding_time += it.expected;
        auto const until_stage_end =
            std::min(from_seconds(holding_time), request.expected_total);
        pools[it.pool].record_offered_work(request.work_rank, it.committed,
                                           until_stage_end,
                                           settings.demand_time_constant, now);
    }
}

pool_access admission_state::access(tracked_request const& request,
                                    time_point now) const
{
    auto out = pool_access::guaranteed;
    for (auto const& it : request.stages)
        out = std::min(out, ranks.access(pools[it.pool], request.work_rank,
                                         it.committed, settings.runner_queueing,
                                         traits.rank_shares,
                                         request.bound_factor, now));
    return out;
}

double admission_state::bound_factor(tracked_request const& request,
                                     organisation_record const& record) const
{
    auto const i = index_of(request.work_rank);
    auto const level = fair_level[i];
    if (!traits.favour_light_organisations || !std::isfinite(level))
        return 1.0;
    auto const rate = record.cost_rate[i] +
                      peers.organisation(request.organisation).cost_rate[i];
    auto const fair = level * limits_of(request.organisation).weight;
    if (rate <= light_rate_fraction * fair)
        return light_bound_factor;
    return rate > fair ? settings.heavy_part : 1.0;
}

// A request may bypass the queue only when it does not overtake one that poll()
// would dispatch.
bool admission_state::may_dispatch_now(tracked_request const& request,
                                       time_point now) const
{
    auto const allowed = access(request, now);
    if (allowed == pool_access::blocked)
        return false;
    if (expiries.empty())
        return true;
    return allowed == pool_access::guaranteed && traits.rank_shares &&
           paths[request.path].queues[index_of(request.work_rank)].empty();
}

duration admission_state::predicted_wait(tracked_request const& request,
                                         organisation_record const& record,
                                         time_point now) const
{
    auto const r = request.work_rank;
    auto const i = index_of(r);
    // Under fair queueing a request can overtake those of other organisations.
    // It waits for the requests of its own organisation, and for each of them
    // for the other organisations in the rank in proportion to their weights.
    double turns_to_wait = 0.0;
    if (traits.fair_between_organisations && request.cost > 0.0)
    {
        auto const others = queued_weight[i] - record.queued_weight[i];
        turns_to_wait = (record.queued_cost[i] + request.cost) / request.cost *
                        (1.0 + others / request.weight);
    }
    double wait = 0.0;
    for (auto const& stage : request.stages)
    {
        auto const& pool = pools[stage.pool];
        double work_ahead = pool.queued(r);
        if (turns_to_wait > 0.0)
            work_ahead = std::min(work_ahead, turns_to_wait * stage.committed);
        auto excess_backlog =
            pool.total_backlog() - pool.bound(settings.runner_queueing);
        if (traits.rank_shares)
            excess_backlog =
                std::min(excess_backlog,
                         pool.backlog(r) - pool.guaranteed_bound(
                                               r, settings.runner_queueing));
        wait = std::max(
            wait, (work_ahead + std::max(excess_backlog, 0.0)) /
                      ranks.expected_slots(pool, r,
                                           settings.demand_time_constant, now));
    }
    return from_seconds(std::min(wait, 3600.0));
}

void admission_state::enqueue(tracked_request const& request,
                              organisation_record& record)
{
    auto const r = request.work_rank;
    auto const i = index_of(r);
    if (record.queued[i] == 0)
    {
        fairness.activate(record, r);
        record.queued_weight[i] = request.weight;
        queued_weight[i] += request.weight;
    }
    ++record.queued[i];
    record.queued_cost[i] += request.cost;
    ++queued[i];
    for (auto const& it : request.stages)
        pools[it.pool].add_queued(r, it.committed);
    auto const counter = ordering_counter(flow_of(request), r);
    paths[request.path].queues[i].push(flow_of(request), counter,
                                       request.position, request.id);
    expiries.emplace(request.expires, request.id);
}

void admission_state::dequeue(tracked_request const& request)
{
    auto const r = request.work_rank;
    auto const i = index_of(r);
    paths[request.path].queues[i].erase(flow_of(request), request.position);
    expiries.erase({request.expires, request.id});
    --queued[i];
    for (auto const& it : request.stages)
        pools[it.pool].add_queued(r, -it.committed);
    auto* const record = organisations.find(request.organisation);
    if (record == nullptr || record->queued[i] == 0)
        return;
    record->queued_cost[i] -= request.cost;
    if (--record->queued[i] > 0)
        return;
    record->queued_cost[i] = 0.0;
    queued_weight[i] -= record->queued_weight[i];
    record->queued_weight[i] = 0.0F;
    if (queued[i] == 0)
        queued_weight[i] = 0.0;
}

void admission_state::start(tracked_request& request, time_point now)
{
    auto const r = request.work_rank;
    request.running = true;
    request.dispatched = now;
    for (auto const& it : request.stages)
        pools[it.pool].commit(r, it.committed, settings.demand_time_constant,
                              now);
    ranks.charge(r, request.cost);
    if (auto* const record = organisations.find(request.organisation))
    {
        if (record->queued[index_of(r)] == 0)
            fairness.activate(*record, r);
        fairness.charge(*record, r, request.cost, request.weight);
    }
}

tracked_request* admission_state::next_candidate(time_point now)
{
    tracked_request* best = nullptr;
    candidate best_candidate;
    for (std::uint32_t path = 0; path < paths.size(); ++path)
    {
        for (auto const r : all_ranks)
        {
            auto const i = index_of(r);
            auto& queue = paths[path].queues[i];
            if (queue.empty())
                continue;
            auto const counter_of = [&](organisation_id id)
            { return ordering_counter(id, r); };
            auto const [flow, id] = queue.front(counter_of);
            auto& request = *requests.find(id)->second;
            candidate it;
            it.access = access(request, now);
            if (it.access == pool_access::blocked)
                continue;
            it.work_rank = r;
            it.sequence = request.position.sequence;
            it.latest_start = request.expires;
            it.counter = counter_of(flow);
            it.rank_start_tag = ranks.start_tag(r);
            it.worth_per_cost =
                ranks.ranks()[i].worth / std::max(request.cost, 1e-9);
            if (best == nullptr || policy->before(it, best_candidate))
            {
                best = &request;
                best_candidate = it;
            }
        }
    }
    return best;
}

double admission_state::ordering_counter(organisation_id id, rank r) const
{
    auto const* const record =
        traits.fair_between_organisations ? organisations.find(id) : nullptr;
    auto const counter = record == nullptr ? 0.0 : record->counter[index_of(r)];
    auto const step = settings.counter_step;
    return step > 0.0 ? std::floor(counter / step) * step : counter;
}

bool admission_state::cannot_meet_deadline(tracked_request const& request,
                                           time_point now) const
{
    if (!traits.deadline_checks)
        return now >= request.deadline;
    auto const& estimate =
        paths[request.path].residence[index_of(request.work_rank)];
    return now + estimate.predict(request.expected_total,
                                  queue_margin_deviations, now) >
           request.deadline;
}

organisation_id admission_state::flow_of(tracked_request const& request) const
{
    return traits.fair_between_organisations ? request.organisation
                                             : organisation_id{};
}

duration admission_state::with_jitter(duration value)
{
    auto const unit =
        static_cast<double>(random()) / static_cast<double>(pcg32::max());
    return from_seconds(to_seconds(value) *
                        (1.0 + retry_jitter * (2.0 * unit - 1.0)));
}

admission_decision admission_state::refuse(error_kind reason,
                                           duration retry_after)
{
    if (retry_after == duration::zero() && reason == error_kind::no_runner)
        retry_after = no_runner_retry_delay;
    if (retry_after == duration::zero() && reason == error_kind::overloaded)
        retry_after = queue_full_retry_delay;
    return {admission_outcome::refused, reason, with_jitter(retry_after)};
}

} // namespace buckthornvale::decision::admission::detail
