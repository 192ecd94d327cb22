#include <buckthornvale/decision/gateway/runner_directory.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! A limit ends when answers have named none for this long. Answers to requests
//! that were sent before it was named may arrive after it.
constexpr duration limit_end_time = 1s;

//! A runner that says a wrong time must not be avoided until its next start.
constexpr duration max_cold_time = 5min;

//! Number of requests to a runner without a limit.
constexpr std::size_t any_number = 1'000'000;

bool is_cold(runner_state const& state, time_point now)
{
    return state.cold && state.cold->ends_at > now;
}

//! Nullptr unless the runner is cold and its service has a limit for that.
rate_share const* cold_share_of(runner_state const& state, time_point now)
{
    return is_cold(state, now) && state.cold->share ? &*state.cold->share
                                                    : nullptr;
}

//! Number of requests that the limit for cold runners leaves to this VM.
std::size_t sends_while_cold(runner_state const& state, time_point until,
                             time_point now)
{
    auto const* share = cold_share_of(state, now);
    if (share == nullptr || state.cold->ends_at <= until)
        return any_number;
    return share->sends_until(until, now);
}

} // namespace

bool runner_directory::record_rate_limit(std::string_view id,
                                         named_rate_limit limit, time_point now)
{
    auto* state = find(id);
    if (state == nullptr)
        return false;
    auto& known = state->notice.rate_limit;
    switch (limit.what)
    {
    case named_rate_limit::kind::unreadable:
        return !std::exchange(state->notice.rate_limit_unreadable, true);
    case named_rate_limit::kind::none:
        if (!known)
            return false;
        if (!known->not_named_since)
            known->not_named_since = now;
        if (now - *known->not_named_since < limit_end_time)
            return false;
        known.reset();
        return true;
    case named_rate_limit::kind::limit:
        break;
    }
    bool const changed = !known || known->share.limit_per_s() != limit.per_s;
    if (!known)
        known.emplace();
    known->named_at = now;
    known->not_named_since.reset();
    known->ends_at.reset();
    return changed;
}

bool runner_directory::end_rate_limit(runner_state& state, time_point at,
                                      time_point now)
{
    auto& known = state.notice.rate_limit;
    if (!known || known->ends_at || now - known->named_at < limit_end_time)
        return false;
    known->ends_at = at;
    return true;
}

bool runner_directory::record_cold_start(runner_state& state,
                                         duration time_left, bool restored,
                                         time_point now)
{
    auto const ends_at = now + std::min(time_left, max_cold_time);
    bool const known = is_cold(state, now);
    if (restored && known && state.cold->ends_at >= ends_at)
        return false;
    if (time_left <= duration::zero())
    {
        state.cold.reset();
        return false;
    }
    if (!known)
        state.cold = cold_start();
    state.cold->ends_at = ends_at;
    return !known;
}

std::vector<runner_state*> runner_directory::cold(time_point now)
{
    std::vector<runner_state*> out;
    for (auto& it : runners_)
        if (is_cold(it.second, now))
            out.push_back(&it.second);
    return out;
}

std::size_t runner_directory::cold_count(time_point now) const
{
    return std::size_t(std::count_if(runners_.begin(), runners_.end(),
                                     [now](auto const& it)
                                     { return is_cold(it.second, now); }));
}

std::vector<runner_state*> runner_directory::limited()
{
    std::vector<runner_state*> out;
    for (auto& it : runners_)
        if (it.second.notice.rate_limit)
            out.push_back(&it.second);
    return out;
}

std::optional<std::size_t>
runner_directory::sends_until(std::string_view service, time_point until,
                              time_point now) const
{
    std::size_t out = 0;
    bool any_limit = false;
    for (auto const& it : runners_)
    {
        auto const& state = it.second;
        if (state.entry.service != service || is_excluded(state, now) ||
            state.notice.quiet_until > until)
            continue;
        if (!limit_per_s(state, now))
            return std::nullopt;
        any_limit = true;
        auto const from = std::max(now, state.notice.quiet_until);
        auto const named =
            state.notice.rate_limit
                ? state.notice.rate_limit->share.sends_until(until, from)
                : any_number;
        out += std::min(named, sends_while_cold(state, until, from));
    }
    return any_limit ? std::optional<std::size_t>(out) : std::nullopt;
}

runner_state const* runner_directory::first_limited(std::string_view service,
                                                    time_point now) const
{
    runner_state const* out = nullptr;
    for (auto const& it : runners_)
    {
        auto const& state = it.second;
        if (state.entry.service != service || is_excluded(state, now) ||
            !limit_per_s(state, now))
            continue;
        if (out == nullptr || next_send(state, now) < next_send(*out, now))
            out = &state;
    }
    return out;
}

time_point next_send(runner_state const& state, time_point now)
{
    time_point out;
    if (auto const& limit = state.notice.rate_limit)
        out = limit->share.next_send();
    if (auto const* share = cold_share_of(state, now))
        out = std::max(out, std::min(share->next_send(), state.cold->ends_at));
    return out;
}

std::optional<double> limit_per_s(runner_state const& state, time_point now)
{
    std::optional<double> out;
    if (auto const& limit = state.notice.rate_limit)
        out = limit->share.limit_per_s();
    if (auto const* share = cold_share_of(state, now))
        out =
            std::min(out.value_or(share->limit_per_s()), share->limit_per_s());
    return out;
}

bool is_share_used(runner_state const& state, time_point now)
{
    return next_send(state, now) > now;
}

void count_send(runner_state& state, time_point now)
{
    if (state.notice.rate_limit)
        state.notice.rate_limit->share.count_send(now);
    if (state.cold && state.cold->share)
        state.cold->share->count_send(now);
}

} // namespace buckthornvale::decision::gateway
