#include <buckthornvale/decision/gateway/runner_directory.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Maximum time from a decision until the request arrives at the runner.
constexpr duration drain_margin = 350ms;

constexpr duration unreachable_backoff = 400ms;
constexpr duration silent_backoff = 600ms;
constexpr duration full_backoff = 40ms;
constexpr duration failing_backoff = 1500ms;
constexpr duration max_backoff = 4s;

//! Number of consecutive silent sends that cause a back-off. A single one may
//! be the fault of the request or of the connection.
constexpr std::uint32_t silent_send_limit = 2;

//! Weight of the newest send in the moving averages.
constexpr double ewma_weight = 0.15;

//! Failure rate above which a runner is put in back-off. Healthy services also
//! fail some requests, for reasons of their own.
constexpr double max_failure_share = 0.4;

//! The time until a VM returns to a runner that wanted no requests is longer by
//! up to this share, within the bound.
constexpr double max_return_spread_share = 0.5;
constexpr duration max_return_spread = 5s;

//! Time for which erased registrations are remembered.
constexpr duration former_entry_lifetime = 10min;

//! Age from which a reported load is ignored.
constexpr duration load_lifetime = 500ms;

bool is_incarnation(runner const& it, std::string_view address,
                    std::int64_t started_at_ms)
{
    return it.address == address && it.started_at_ms == started_at_ms;
}

void update_ewma(double& value, double sample)
{
    value += ewma_weight * (sample - value);
}

} // namespace

runner_directory::runner_directory(duration drain_timeout,
                                   duration max_update_delay,
                                   duration settle_time)
    : max_outage_grace_period_(
          std::clamp<duration>(drain_timeout - drain_margin, duration::zero(),
                               max_outage_grace_period)),
      removal_grace_period_(std::clamp<duration>(
          drain_timeout - drain_margin - max_update_delay, duration::zero(),
          max_outage_grace_period_ * 3 / 4)),
      leaving_grace_period_(
          std::max<duration>(drain_timeout - drain_margin, duration::zero())),
      settle_time_(settle_time)
{
}

void runner_directory::assign(absl::Span<runner const> runners,
                              std::optional<time_point> store_failed_after,
                              time_point now)
{
    absl::flat_hash_set<std::string_view> listed;
    for (auto const& it : runners)
        listed.insert(it.id);
    std::vector<std::string> unlisted;
    for (auto const& it : runners_)
        if (!listed.contains(it.first))
            unlisted.push_back(it.first);
    for (auto const& id : unlisted)
        remove(id, store_failed_after, now);
    for (auto const& it : runners)
        upsert(it);
}

void runner_directory::assign_restored(
    absl::Span<runner const> runners,
    std::optional<time_point> store_failed_after, time_point now)
{
    std::vector<runner> present;
    std::copy_if(runners.begin(), runners.end(), std::back_inserter(present),
                 [this](runner const& it) { return !has_left(it); });
    assign(present, store_failed_after, now);
}

bool runner_directory::has_left(runner const& value) const
{
    auto const found = runners_.find(value.id);
    if (found != runners_.end())
    {
        auto const& state = found->second;
        return is_incarnation(value, state.entry.address,
                              state.entry.started_at_ms) &&
               (state.entry.draining || state.fallback_only);
    }
    auto const former = former_entries_.find(value.id);
    return former != former_entries_.end() && former->second.has_left &&
           is_incarnation(value, former->second.address,
                          former->second.started_at_ms);
}

void runner_directory::upsert(runner value)
{
    // A new runner at the address of an expiring entry proves that the previous
    // runner is gone.
    auto const holder = id_by_address_.find(value.address);
    if (holder != id_by_address_.end() && holder->second != value.id)
        if (auto const found = runners_.find(holder->second);
            found != runners_.end() && found->second.expires_at)
            erase_entry(found).has_left = true;
    auto& state = runners_[value.id];
    bool const restarted =
        !is_incarnation(value, state.entry.address, state.entry.started_at_ms);
    if (restarted)
    {
        auto const outstanding = state.outstanding;
        state = {};
        state.outstanding = outstanding;
    }
    auto const former = former_entries_.find(value.id);
    if (former != former_entries_.end())
    {
        if (is_incarnation(value, former->second.address,
                           former->second.started_at_ms))
            state.notice = former->second.notice;
        former_entries_.erase(former);
    }
    id_by_address_[value.address] = value.id;
    state.entry = std::move(value);
    state.expires_at.reset();
    state.fallback_only = false;
}

void runner_directory::remove(std::string_view id,
                              std::optional<time_point> store_failed_after,
                              time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    if (found->second.entry.draining)
    {
        erase_entry(found);
        return;
    }
    auto& state = found->second;
    state.fallback_only = state.fallback_only || !store_failed_after;
    if (!state.expires_at)
        state.expires_at =
            now + (store_failed_after
                       ? outage_grace_period(*store_failed_after, now)
                       : removal_grace_period_);
}

duration runner_directory::outage_grace_period(time_point store_failed_after,
                                               time_point now) const
{
    // The removal may have been acknowledged just before the failure, whose
    // settle time does not put it off.
    auto const bound = store_failed_after + settle_time_ - drain_margin;
    return std::clamp<duration>(bound - now, duration::zero(),
                                max_outage_grace_period_);
}

void runner_directory::expire(time_point now)
{
    for (auto it = runners_.begin(); it != runners_.end();)
    {
        auto const next = std::next(it);
        auto& limit = it->second.notice.rate_limit;
        if (limit && limit->ends_at && *limit->ends_at <= now)
            limit.reset();
        auto& cold = it->second.cold;
        if (cold && cold->ends_at <= now)
            cold.reset();
        if (it->second.expires_at && *it->second.expires_at <= now)
            erase_entry(it);
        it = next;
    }
    for (auto it = former_entries_.begin(); it != former_entries_.end();)
    {
        if (!it->second.erased_at)
            it->second.erased_at = now;
        bool const old = now - *it->second.erased_at > former_entry_lifetime;
        it = old ? former_entries_.erase(it) : std::next(it);
    }
}

runner_directory::former_entry&
runner_directory::erase_entry(runner_map::iterator it)
{
    auto const address = id_by_address_.find(it->second.entry.address);
    if (address != id_by_address_.end() && address->second == it->first)
        id_by_address_.erase(address);
    auto const& state = it->second;
    auto& former = former_entries_[it->first];
    former = {state.entry.address,
              state.entry.started_at_ms,
              state.notice,
              state.entry.draining || state.fallback_only,
              {}};
    runners_.erase(it);
    return former;
}

bool runner_directory::is_gone(runner_state const& state, time_point now) const
{
    auto const& leaving = state.notice.leaving_since;
    // Checked here too, because a process that was paused may choose a runner
    // before it erases entries that expired meanwhile.
    return state.entry.draining ||
           (state.expires_at && *state.expires_at <= now) ||
           (leaving && now - *leaving >= leaving_grace_period_);
}

bool runner_directory::is_excluded(runner_state const& state,
                                   time_point now) const
{
    return evacuations_.excludes(state.entry.failure_domain) ||
           is_gone(state, now);
}

bool runner_directory::is_reachable_domain(
    std::string_view failure_domain) const
{
    if (failure_domain.empty())
        return !evacuations_.excludes_any();
    return !evacuations_.excludes(failure_domain);
}

void runner_directory::usable(std::string_view service, time_point now,
                              std::vector<runner_state*>& out)
{
    select(service, now, out,
           [now](runner_state const& it) { return !is_share_used(it, now); });
}

void runner_directory::usable_with_limited(std::string_view service,
                                           time_point now,
                                           std::vector<runner_state*>& out)
{
    select(service, now, out, [](runner_state const&) { return true; });
}

template <class Predicate>
void runner_directory::select(std::string_view service, time_point now,
                              std::vector<runner_state*>& out,
                              Predicate const& accepted)
{
    out.clear();
    std::vector<runner_state*> fallbacks;
    for (auto& it : runners_)
    {
        auto& state = it.second;
        if (state.entry.service != service || is_excluded(state, now) ||
            state.notice.quiet_until > now || !accepted(state))
            continue;
        bool const fallback = state.backoff_until > now ||
                              state.fallback_only || state.notice.leaving_since;
        (fallback ? fallbacks : out).push_back(&state);
    }
    if (out.empty())
        out = std::move(fallbacks);
}

runner_state* runner_directory::find(std::string_view id)
{
    auto const found = runners_.find(id);
    return found == runners_.end() ? nullptr : &found->second;
}

runner_state* runner_directory::find_by_address(std::string_view address)
{
    auto const id = id_by_address_.find(address);
    return id == id_by_address_.end() ? nullptr : find(id->second);
}

runner_notice* runner_directory::find_notice(std::string_view id)
{
    if (auto* state = find(id))
        return &state->notice;
    auto const former = former_entries_.find(id);
    return former == former_entries_.end() ? nullptr : &former->second.notice;
}

bool runner_directory::record_leaving(std::string_view id, time_point now)
{
    auto* notice = find_notice(id);
    if (notice == nullptr || notice->leaving_since)
        return false;
    notice->leaving_since = now;
    return true;
}

time_point runner_directory::record_quiet(std::string_view id,
                                          duration quiet_time, double spread,
                                          time_point now)
{
    auto const quiet = std::min(quiet_time, max_quiet_time);
    auto const longest =
        std::min(max_return_spread,
                 from_seconds(max_return_spread_share * to_seconds(quiet)));
    auto const until = now + quiet + from_seconds(spread * to_seconds(longest));
    auto* notice = find_notice(id);
    if (notice == nullptr)
        return now;
    notice->quiet_until = std::max(notice->quiet_until, until);
    return notice->quiet_until;
}

std::optional<time_point>
runner_directory::quiet_until(std::string_view service, time_point now) const
{
    std::optional<time_point> out;
    for (auto const& it : runners_)
    {
        auto const& state = it.second;
        if (state.entry.service != service || is_excluded(state, now))
            continue;
        if (state.notice.quiet_until <= now)
            return std::nullopt;
        out = std::min(out.value_or(state.notice.quiet_until),
                       state.notice.quiet_until);
    }
    return out;
}

std::string_view
runner_directory::failure_domain_of(std::string_view address) const
{
    auto const id = id_by_address_.find(address);
    if (id == id_by_address_.end())
        return {};
    auto const found = runners_.find(id->second);
    return found == runners_.end() ? std::string_view()
                                   : found->second.entry.failure_domain;
}

void runner_directory::back_off(runner_state& state, duration min_backoff,
                                time_point now)
{
    constexpr std::uint32_t max_doublings = 4;
    auto const factor = 1U << std::min(state.backoff_count, max_doublings);
    state.backoff_until =
        now + std::min<duration>(min_backoff * factor, max_backoff);
    ++state.backoff_count;
}

void runner_directory::record(runner_state& state, runner_signal signal,
                              duration elapsed, time_point now)
{
    switch (signal)
    {
    case runner_signal::served:
        state.consecutive_silent_sends = 0;
        state.backoff_count = 0;
        update_ewma(state.failure_share, 0);
        if (state.latency_s == 0)
            state.latency_s = to_seconds(elapsed);
        update_ewma(state.latency_s, to_seconds(elapsed));
        break;
    case runner_signal::failed:
        update_ewma(state.failure_share, 1);
        if (state.failure_share > max_failure_share)
        {
            back_off(state, failing_backoff, now);
            state.failure_share = max_failure_share / 2;
        }
        break;
    case runner_signal::unreachable:
        back_off(state, unreachable_backoff, now);
        break;
    case runner_signal::silent:
        update_ewma(state.failure_share, 1);
        if (++state.consecutive_silent_sends >= silent_send_limit)
            back_off(state, silent_backoff, now);
        break;
    case runner_signal::full:
        state.backoff_until = std::max(state.backoff_until, now + full_backoff);
        break;
    case runner_signal::replaced:
        state.expires_at =
            state.expires_at.value_or(now + max_outage_grace_period_);
        state.backoff_until = now + max_backoff;
        break;
    }
}

void record_load(runner_state& state, std::optional<runner_load> load,
                 time_point now)
{
    if (!load)
        return;
    state.load = load;
    state.load_at = now;
    state.engine.report(*load, now);
}

double estimated_load(runner_state const& state, time_point now)
{
    double const own = state.outstanding;
    if (!state.load || now - state.load_at > load_lifetime)
        return own;
    return std::max<double>(own, state.load->running + state.load->waiting);
}

} // namespace buckthornvale::decision::gateway
