#include "admission_state.hpp"

#include <algorithm>

namespace buckthornvale::decision::admission
{

namespace
{

//! Releases the work of unfinished stages and refunds its cost to the
//! organisation.
void release_unfinished(detail::admission_state& state,
                        detail::tracked_request const& request)
{
    double refund = 0.0;
    for (auto const& it : request.stages)
    {
        if (it.finished)
            continue;
        auto& pool = state.pools[it.pool];
        pool.release(request.work_rank, it.committed);
        refund += it.expected / std::max(pool.fleet_slots().value_or(1.0), 1.0);
    }
    auto* const record = state.organisations.find(request.organisation);
    if (record != nullptr && refund > 0.0)
        state.fairness.adjust_charge(*record, request.work_rank, -refund,
                                     request.weight);
}

//! Returns whether the elapsed time is a sample for the residence estimate. A
//! request that ended before all of its stages finished is none, unless it had
//! already run for at least the expected time.
bool is_residence_sample(detail::tracked_request const& request,
                         duration elapsed)
{
    return elapsed >= request.expected_total ||
           std::all_of(request.stages.begin(), request.stages.end(),
                       [](auto const& it) { return it.finished; });
}

void remove_request(detail::admission_state& state, request_id id)
{
    auto const it = state.requests.find(id);
    auto* const record = state.organisations.find(it->second->organisation);
    if (record != nullptr && record->in_flight > 0)
        --record->in_flight;
    state.requests.erase(it);
}

} // namespace

admission_controller::admission_controller(admission_settings settings,
                                           std::uint64_t seed)
    : state_(std::make_unique<detail::admission_state>(settings, seed))
{
}

admission_controller::~admission_controller() = default;
admission_controller::admission_controller(admission_controller&&) noexcept =
    default;
admission_controller&
admission_controller::operator=(admission_controller&&) noexcept = default;

admission_decision admission_controller::admit(admission_request const& request,
                                               time_point now)
{
    auto& state = *state_;
    state.refresh(now);
    auto& record = state.organisations.touch(request.organisation, now);
    state.demand.add_request(record, now);
    auto const limited =
        state.check_limits(record, state.limits_of(request.organisation), now);
    if (limited.outcome == admission_outcome::refused)
        return limited;
    auto tracked = state.make_tracked_request(request, record, now);
    state.record_demand(tracked, record, now);
    if (state.needs_refresh)
        state.refresh(now);
    if (state.lacks_runner(tracked))
        return state.refuse(error_kind::no_runner, {});
    auto const checked = state.check_deadline(tracked, record, now);
    if (checked.outcome == admission_outcome::refused)
        return checked;
    bool const dispatch_now = state.may_dispatch_now(tracked, now);
    if (!dispatch_now && state.queue_full(record, tracked.work_rank))
        return state.refuse(error_kind::overloaded, {});
    auto& entry = state.requests[tracked.id];
    entry = std::make_unique<detail::tracked_request>(std::move(tracked));
    ++record.in_flight;
    if (dispatch_now)
    {
        state.start(*entry, now);
        return {admission_outcome::dispatch, error_kind::none, {}};
    }
    state.enqueue(*entry, record);
    return {admission_outcome::queued, error_kind::none, {}};
}

void admission_controller::poll(time_point now,
                                std::vector<request_id>& dispatch,
                                std::vector<request_id>& expired)
{
    auto& state = *state_;
    state.organisations.drop_idle(now);
    if (state.expiries.empty())
        return;
    state.refresh(now);
    auto const expire = [&](detail::tracked_request const& request)
    {
        auto const id = request.id;
        state.dequeue(request);
        expired.push_back(id);
        remove_request(state, id);
    };
    while (!state.expiries.empty() && state.expiries.begin()->first < now)
        expire(*state.requests.find(state.expiries.begin()->second)->second);
    while (auto* const next = state.next_candidate(now))
    {
        if (state.cannot_meet_deadline(*next, now))
        {
            expire(*next);
            continue;
        }
        state.dequeue(*next);
        state.start(*next, now);
        dispatch.push_back(next->id);
    }
}

void admission_controller::stage_finished(request_id id, pool_id pool,
                                          duration actual_work, time_point)
{
    auto& state = *state_;
    auto const found = state.requests.find(id);
    auto const index = state.pool_indices.find(pool);
    if (found == state.requests.end() || !found->second->running ||
        index == state.pool_indices.end())
        return;
    auto& request = *found->second;
    auto const stage =
        std::find_if(request.stages.begin(), request.stages.end(),
                     [&](auto const& it)
                     { return it.pool == index->second && !it.finished; });
    if (stage == request.stages.end())
        return;
    stage->finished = true;
    auto& backlog = state.pools[stage->pool];
    auto const actual = to_seconds(actual_work);
    backlog.release(request.work_rank, stage->committed);
    backlog.record_measured_work(stage->expected, actual);
    auto* const record = state.organisations.find(request.organisation);
    if (record != nullptr)
        state.fairness.adjust_charge(
            *record, request.work_rank,
            (actual - stage->expected) /
                std::max(backlog.fleet_slots().value_or(1.0), 1.0),
            request.weight);
}

void admission_controller::finished(request_id id, time_point now)
{
    auto& state = *state_;
    auto const it = state.requests.find(id);
    if (it == state.requests.end())
        return;
    auto const& request = *it->second;
    if (!request.running)
    {
        cancel(id, now);
        return;
    }
    release_unfinished(state, request);
    auto const elapsed = now - request.dispatched;
    if (is_residence_sample(request, elapsed))
        state.paths[request.path].residence[index_of(request.work_rank)].add(
            request.expected_total, elapsed, now);
    remove_request(state, id);
}

bool admission_controller::cancel(request_id id, time_point)
{
    auto const it = state_->requests.find(id);
    if (it == state_->requests.end() || it->second->running)
        return false;
    state_->dequeue(*it->second);
    remove_request(*state_, id);
    return true;
}

void admission_controller::set_pool_capacity(pool_id pool, double slots,
                                             time_point)
{
    auto const index = state_->pool_index(pool);
    state_->pools[index].set_fleet_slots(std::max(slots, 0.0));
    state_->needs_refresh = true;
}

void admission_controller::set_organisation(organisation_id id,
                                            organisation_limits const& limits)
{
    state_->limits[id] = limits;
}

void admission_controller::remove_organisation(organisation_id id)
{
    state_->limits.erase(id);
}

void admission_controller::set_ranks(rank_table const& ranks)
{
    state_->ranks.set_ranks(ranks);
    state_->needs_refresh = true;
}

void admission_controller::set_runner_queueing(duration value)
{
    state_->settings.runner_queueing = value;
    state_->needs_refresh = true;
}

void admission_controller::set_fleet_size(std::size_t live_vms, time_point now)
{
    state_->peers.set_fleet(live_vms, now);
    state_->needs_refresh = true;
}

void admission_controller::update_peer_demand(vm_id peer,
                                              demand_summary const& summary,
                                              time_point now)
{
    state_->peers.update(peer, summary, now);
}

demand_summary admission_controller::local_demand(time_point now) const
{
    return state_->demand.summary(state_->pools, state_->organisations, now);
}

admission_counts admission_controller::counts() const
{
    admission_counts out;
    out.queued = state_->expiries.size();
    out.running = state_->requests.size() - out.queued;
    out.organisations = state_->organisations.size();
    out.stale_peers = state_->peers.stale_vms();
    return out;
}

} // namespace buckthornvale::decision::admission
