#include "active_request.hpp"
#include "milliseconds_text.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! A VM without events for this long was paused. The other VMs have handed its
//! work as a scheduler over meanwhile: they probe it after 300 ms without an
//! answer, and the probe times out after 500 ms.
constexpr duration handover_time = 1s;

//! Time within which messages that were received during a pause are read.
constexpr duration stale_message_time = 50ms;

//! Longest time for which a failure domain stays out of use after its
//! evacuation if its runners cannot be listed again. A longer time would lose
//! the domain for a whole outage of the store, a shorter one would send more to
//! runners that may be cold.
constexpr duration max_ended_hold_time = 30s;

} // namespace

reducer::reducer(gateway_settings settings)
    : settings_(std::move(settings)),
      runners_(settings_.drain_timeout, settings_.max_update_delay,
               settings_.settle_time),
      members_(settings_.vm_name),
      retry_budget_(settings_.retries, settings_.started_at),
      crash_records_known_(!settings_.await_crash_records)
{
    if (settings_.evacuation_timeout)
        runners_.evacuations().await_first_list();
}

reducer::~reducer() = default;

effects reducer::reduce(event const& input, time_point now)
{
    if (last_event_at_ != time_point() && now - last_event_at_ > handover_time)
        resume_after_pause(now - last_event_at_, now);
    last_event_at_ = now;
    std::visit([&](auto const& it) { on(it, now); }, input);
    if (dispatch_needed_)
        run_schedulers(now);
    store_changed_crash_records();
    return std::exchange(out_, {});
}

bool reducer::ready() const
{
    return manifest_ != nullptr && runners_known_ && crash_records_known_ &&
           runners_.evacuations().is_known() && !draining_;
}

bool reducer::busy() const
{
    return !requests_.empty() ||
           std::any_of(schedulers_.begin(), schedulers_.end(),
                       [](auto const& it) {
                           return it.second.waiting() > 0 ||
                                  it.second.calls() > 0;
                       });
}

void reducer::log(char const* what, active_request const* request,
                  std::vector<log_decision::field> fields)
{
    out_.push_back(log_decision{
        what, request != nullptr ? request->traits.id : "", std::move(fields)});
}

void reducer::on(manifest_changed const& in, time_point now)
{
    if (in.value == nullptr ||
        (manifest_ != nullptr && in.value->version <= manifest_->version))
        return;
    manifest_ = in.value;
    assign_shares(now);
    for (auto const& it : manifest_->services)
        if (it.second.pieces)
            scheduler(it.first).configure(*it.second.pieces);
    dispatch_needed_ = true;
    log("manifest_in_force", nullptr,
        {{"version", std::to_string(manifest_->version)},
         {"routes", std::to_string(manifest_->route_count())}});
}

void reducer::on(runners_listed const& in, time_point now)
{
    if (in.restored)
        runners_.assign_restored(in.runners, in.store_failed_after, now);
    else
        runners_.assign(in.runners, in.store_failed_after, now);
    record_cold_starts(in, now);
    // A copy may show the runners as they were before they turned cold.
    if (!in.restored)
        log_released(runners_.evacuations().release_ended(), true);
    runners_known_ = true;
    dispatch_needed_ = true;
    log("runners_listed", nullptr,
        {{"count", std::to_string(in.runners.size())},
         {"after_outage", in.store_failed_after ? "true" : "false"},
         {"restored", in.restored ? "true" : "false"}});
}

void reducer::on(runner_changed const& in, time_point now)
{
    runners_.upsert(in.value);
    if (auto* state = runners_.find(in.value.id))
        record_cold_start(*state, false, now);
    dispatch_needed_ = true;
    log("runner_changed", nullptr,
        {{"runner", in.value.id},
         {"service", in.value.service},
         {"draining", in.value.draining ? "true" : "false"}});
}

void reducer::on(runner_removed const& in, time_point now)
{
    runners_.remove(in.id, in.store_failed_after, now);
    log("runner_removed", nullptr,
        {{"runner", in.id},
         {"after_outage", in.store_failed_after ? "true" : "false"}});
}

void reducer::on(evacuations_listed const& in, time_point now)
{
    auto& known = runners_.evacuations();
    // The operator writes what the copy lacks anew once the store is sound.
    auto const hold_until = now + settings_.settle_time +
                            settings_.evacuation_timeout.value_or(duration());
    auto const changes =
        in.restored ? known.assign_restored(in.failure_domains, hold_until, now)
                    : known.assign(in.failure_domains, now);
    dispatch_needed_ = true;
    apply_evacuations(changes, now);
}

void reducer::on(evacuation_changed const& in, time_point now)
{
    auto& known = runners_.evacuations();
    auto const change = in.evacuated ? known.start(in.failure_domain, now)
                                     : known.end(in.failure_domain, now);
    if (change)
        apply_evacuations({*change}, now);
}

void reducer::apply_evacuations(std::vector<evacuation_change> const& changes,
                                time_point now)
{
    bool any_held = false;
    for (auto const& it : changes)
    {
        log_evacuation(it);
        if (it.started || !settings_.cold_starts)
            continue;
        runners_.evacuations().hold_ended(it.failure_domain,
                                          now + max_ended_hold_time);
        any_held = true;
    }
    dispatch_needed_ = true;
    if (any_held)
        out_.push_back(list_runners());
}

void reducer::log_evacuation(evacuation_change const& change)
{
    if (change.started)
        log("evacuation_started", nullptr,
            {{"failure_domain", change.failure_domain}});
    else
        log("evacuation_ended", nullptr,
            {{"failure_domain", change.failure_domain},
             {"known_ms", milliseconds_text(change.held_for)}});
}

void reducer::log_released(std::vector<std::string> const& failure_domains,
                           bool listed)
{
    for (auto const& it : failure_domains)
        log("failure_domain_released", nullptr,
            {{"failure_domain", it}, {"listed", listed ? "true" : "false"}});
}

void reducer::on(runner_notified const& in, time_point now)
{
    record_rate_limit(in, now);
    // All answers say it, but one line is enough.
    if (in.leaving && runners_.record_leaving(in.runner_id, now))
        log("runner_leaving", nullptr, {{"runner", in.runner_id}});
    if (!in.quiet_time)
        return;
    auto const spread = spread_of(in.runner_id);
    auto const until =
        runners_.record_quiet(in.runner_id, *in.quiet_time, spread, now);
    log("runner_quiet", nullptr,
        {{"runner", in.runner_id},
         {"asked_ms", milliseconds_text(*in.quiet_time)},
         {"avoided_ms", milliseconds_text(until - now)}});
}

void reducer::on(members_listed const& in, time_point now)
{
    for (auto const& name : members_.assign(in.members))
        send_crash_state(name, duration::max(), now);
    assign_shares(now);
    log("members_listed", nullptr,
        {{"count", std::to_string(in.members.size())}});
}

void reducer::resume_after_pause(duration pause, time_point now)
{
    log("resumed_after_pause", nullptr,
        {{"paused_ms", milliseconds_text(pause)}});
    pieces_stale_until_ = now + stale_message_time;
    for (auto& it : schedulers_)
        it.second.withdraw_all_but(members_.self());
}

void reducer::give_up_requests(time_point now)
{
    while (!requests_.empty())
    {
        auto& request = *requests_.begin()->second;
        request.possible_executions += request.in_flight ? 1 : 0;
        fail_request(request, refusal::vm_stopping, now);
    }
}

void reducer::on(drain_started const& in, time_point now)
{
    draining_ = true;
    accept_until_ = now + in.accept_for;
    finish_at_ = now + in.finish_in;
    log("drain_started", nullptr,
        {{"active", std::to_string(requests_.size())}});
}

void reducer::on(timer_fired const& in, time_point now)
{
    runners_.expire(now);
    apply_evacuations(runners_.evacuations().expire(now), now);
    log_released(runners_.evacuations().release_overdue(now), false);
    check_crash_records(now);
    crashes_.expire(now);
    judge_.expire(now);
    suspects_.expire(now);
    if (judge_.has_accused())
        judge_crashes(now);
    repeat_crash_state(now);
    std::vector<request_ref> refs;
    refs.reserve(requests_.size());
    for (auto const& it : requests_)
        refs.push_back(it.first);
    for (auto const ref : refs)
        if (auto const found = requests_.find(ref);
            found != requests_.end() && !end_at_deadline(*found->second, now))
            check_progress(*found->second, in.input_until, now);
    start_waiting_requests(now);
    if (draining_ && finish_at_ <= now)
        give_up_requests(now);
    assign_stage_shares(now);
    for (auto& it : schedulers_)
        it.second.hedge_slow_calls(in.input_until);
    probe_owners(in.input_until, now);
    remove_unreachable_members(now);
    dispatch_needed_ = true;
}

} // namespace buckthornvale::decision::gateway
