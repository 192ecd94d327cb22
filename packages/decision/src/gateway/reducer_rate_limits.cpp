#include "active_request.hpp"
#include "milliseconds_text.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/reducer.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! After the end of a limit, VMs return to the runner one after the other
//! within this time.
constexpr duration max_return_delay = 2s;

//! Number of VMs that are told of a limit, so that one of them is alive.
constexpr std::size_t informed_vms = 2;

} // namespace

bool reducer::is_rate_limited(std::string_view runner_id)
{
    auto const* state = runners_.find(runner_id);
    return state != nullptr && state->notice.rate_limit.has_value();
}

void reducer::record_rate_limit(runner_notified const& in, time_point now)
{
    if (!runners_.record_rate_limit(in.runner_id, in.rate_limit, now))
        return;
    switch (in.rate_limit.what)
    {
    case named_rate_limit::kind::unreadable:
        log("rate_limit_ignored", nullptr, {{"runner", in.runner_id}});
        return;
    case named_rate_limit::kind::none:
        report_end_of_limit(in.runner_id, now);
        return;
    case named_rate_limit::kind::limit:
        break;
    }
    if (auto* state = runners_.find(in.runner_id))
    {
        apply_rate_limit(*state, in.rate_limit.per_s, now);
        report_limit(*state, now);
    }
}

void reducer::apply_rate_limit(runner_state& state, double limit_per_s,
                               time_point now)
{
    assign_share(state, limit_per_s, now);
    auto const& share = state.notice.rate_limit->share;
    log("rate_limit_named", nullptr,
        {{"runner", state.entry.id},
         {"per_s", std::to_string(share.limit_per_s())},
         {"vms", std::to_string(members_.count())},
         {"send_interval_ms", milliseconds_text(share.interval())}});
}

void reducer::report_limit(runner_state const& state, time_point now)
{
    report_rate_limit const message{
        state.entry.id, state.entry.started_at_ms,
        state.notice.rate_limit->share.limit_per_s()};
    for (auto const& name : members_.first(state.entry.id, informed_vms))
        if (name != members_.self())
            send_message(name, message, now);
}

void reducer::report_end_of_limit(std::string const& runner_id, time_point now)
{
    log("rate_limit_ended", nullptr, {{"runner", runner_id}});
    dispatch_needed_ = true;
    auto const* state = runners_.find(runner_id);
    if (state == nullptr)
        return;
    for (auto const& name : members_.others())
        send_message(
            name, report_rate_limit{runner_id, state->entry.started_at_ms, {}},
            now);
}

void reducer::handle_message(std::string const& from,
                             report_rate_limit const& in, time_point now)
{
    auto* state = runners_.find(in.runner_id);
    if (state == nullptr || state->entry.started_at_ms != in.started_at_ms)
        return;
    if (in.per_s)
    {
        bool const valid = std::isfinite(*in.per_s) && *in.per_s >= 0;
        if (valid && !state->notice.rate_limit &&
            runners_.record_rate_limit(
                in.runner_id, {named_rate_limit::kind::limit, *in.per_s}, now))
            apply_rate_limit(*state, *in.per_s, now);
        return;
    }
    auto const at = now + from_seconds(spread_of(in.runner_id) *
                                       to_seconds(max_return_delay));
    if (runners_.end_rate_limit(*state, at, now))
        log("rate_limit_end_reported", nullptr,
            {{"runner", in.runner_id},
             {"by", from},
             {"ends_in_ms", milliseconds_text(at - now)}});
}

double reducer::spread_of(std::string_view runner_id) const
{
    return stable_fraction(members_.self() + '\n' + std::string(runner_id));
}

share_position reducer::share_of(runner_state const& state, time_point now)
{
    auto const& service = state.entry.service;
    auto of = members_.position(state.entry.id);
    auto const* service_settings =
        manifest_ != nullptr ? manifest_->find_service(service) : nullptr;
    if (service_settings != nullptr && service_settings->pieces)
    {
        // Only the VM that schedules the service sends regularly.
        auto const& owner = members_.owner(service, now);
        share_owners_[service] = owner;
        if (owner == members_.self())
            of = {0, 1};
        else
            of.position = of.vm_count;
    }
    return of;
}

void reducer::assign_share(runner_state& state, double limit_per_s,
                           time_point now)
{
    state.notice.rate_limit->share.set(limit_per_s, share_of(state, now),
                                       spread_of(state.entry.id), now);
}

void reducer::assign_shares(time_point now)
{
    for (auto* state : runners_.limited())
        assign_share(*state, state->notice.rate_limit->share.limit_per_s(),
                     now);
    for (auto* state : runners_.cold(now))
        assign_cold_share(*state, now);
}

void reducer::assign_stage_shares(time_point now)
{
    for (auto const& known : share_owners_)
        if (known.second != members_.owner(known.first, now))
        {
            assign_shares(now);
            return;
        }
}

time_point reducer::latest_send(active_request const& request,
                                time_point now) const
{
    auto const estimate = estimate_stages(request, now);
    std::vector<duration> const no_waits(estimate.stages.size());
    return std::max<time_point>(
        now + request.pipeline.finish_time(estimate.stages, no_waits),
        request.due - estimate.answer);
}

bool reducer::has_send_left(active_request const& request, time_point now) const
{
    auto const sends =
        runners_.sends_until(request.service, latest_send(request, now), now);
    if (!sends)
        return true;
    auto const ahead =
        std::count_if(requests_.begin(), requests_.end(),
                      [&](auto const& it)
                      {
                          return it.second.get() != &request &&
                                 it.second->attempt == 0 &&
                                 it.second->service == request.service;
                      });
    return std::size_t(ahead) < *sends;
}

bool reducer::wait_for_share(active_request& request, time_point now)
{
    if (request.attempt > 0)
        return false;
    auto const sends =
        runners_.sends_until(request.service, latest_send(request, now), now);
    request.awaits_share = sends && *sends > 0;
    return request.awaits_share;
}

void reducer::start_waiting_requests(time_point now)
{
    std::vector<active_request*> waiting;
    for (auto const& it : requests_)
        if (it.second->awaits_share)
            waiting.push_back(it.second.get());
    std::sort(waiting.begin(), waiting.end(),
              [](active_request const* a, active_request const* b)
              {
                  return a->priority() < b->priority() ||
                         (!(b->priority() < a->priority()) && a->due < b->due);
              });
    for (auto* it : waiting)
        start_attempt(*it, now);
}

void reducer::log_rate_limit(active_request const& request, time_point now)
{
    auto const* state = runners_.first_limited(request.service, now);
    if (state == nullptr)
        return;
    auto const& named = state->notice.rate_limit;
    auto const next = next_send(*state, now);
    bool const never = next == time_point::max();
    log("rate_limited", &request,
        {{"runner", state->entry.id},
         {"per_s", std::to_string(limit_per_s(*state, now).value_or(0))},
         {"named_ms_ago",
          named ? milliseconds_text(now - named->named_at) : ""},
         {"next_send_ms", never ? "" : milliseconds_text(next - now)}});
}

} // namespace buckthornvale::decision::gateway
