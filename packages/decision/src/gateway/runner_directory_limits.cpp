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
        if (!state.notice.rate_limit)
            return std::nullopt;
        any_limit = true;
        out += state.notice.rate_limit->share.sends_until(
            until, std::max(now, state.notice.quiet_until));
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
            !state.notice.rate_limit)
            continue;
        auto const next = state.notice.rate_limit->share.next_send();
        if (out == nullptr || next < out->notice.rate_limit->share.next_send())
            out = &state;
    }
    return out;
}

bool is_share_used(runner_state const& state, time_point now)
{
    auto const& limit = state.notice.rate_limit;
    return limit && limit->share.next_send() > now;
}

void count_send(runner_state& state, time_point now)
{
    if (state.notice.rate_limit)
        state.notice.rate_limit->share.count_send(now);
}

} // namespace buckthornvale::decision::gateway
