#include <buckthornvale/decision/gateway/runner_directory.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Time from a decision to the arrival of the request at the runner, at most.
constexpr duration drain_margin = 350ms;

constexpr duration unreachable_pause = 400ms;
constexpr duration silent_pause = 600ms;
constexpr duration full_pause = 40ms;
constexpr duration failing_pause = 1500ms;
constexpr duration longest_pause = 4s;

//! Silent sends in a row after which a runner is avoided; a single one may be
//! the fault of the request or the connection.
constexpr std::uint32_t silent_limit = 2;

//! Weight of the newest send in the moving averages.
constexpr double new_weight = 0.15;

//! Share of failures from which a runner is avoided. Healthy services fail a
//! part of their requests for reasons of their own.
constexpr double failing_share = 0.4;

//! Age from which a stated load no longer counts.
constexpr duration load_lifetime = 500ms;

void average(double& value, double sample)
{
    value += new_weight * (sample - value);
}

} // namespace

runner_directory::runner_directory(duration drain_timeout, duration news_delay)
    : return_time_(std::clamp<duration>(drain_timeout - drain_margin,
                                        duration::zero(), longest_return_time)),
      last_resort_time_(
          std::clamp<duration>(drain_timeout - drain_margin - news_delay,
                               duration::zero(), return_time_ * 3 / 4))
{
}

void runner_directory::assign(absl::Span<runner const> runners,
                              bool after_outage, time_point now)
{
    absl::flat_hash_set<std::string_view> listed;
    for (auto const& it : runners)
        listed.insert(it.id);
    std::vector<std::string> missing;
    for (auto const& it : runners_)
        if (!listed.contains(it.first))
            missing.push_back(it.first);
    for (auto const& id : missing)
        remove(id, after_outage, now);
    for (auto const& it : runners)
        upsert(it);
}

void runner_directory::upsert(runner value)
{
    // A new runner at the address of another one proves that one gone.
    auto const holder = id_by_address_.find(value.address);
    if (holder != id_by_address_.end() && holder->second != value.id)
        if (auto const found = runners_.find(holder->second);
            found != runners_.end() && found->second.gone_at)
            drop(found);
    auto& state = runners_[value.id];
    bool const restarted = state.entry.started_at_ms != value.started_at_ms ||
                           state.entry.address != value.address;
    if (restarted)
    {
        auto const outstanding = state.outstanding;
        state = {};
        state.outstanding = outstanding;
    }
    id_by_address_[value.address] = value.id;
    state.entry = std::move(value);
    state.gone_at.reset();
    state.last_resort = false;
}

void runner_directory::remove(std::string_view id, bool after_outage,
                              time_point now)
{
    auto const found = runners_.find(id);
    if (found == runners_.end())
        return;
    if (found->second.entry.draining)
    {
        drop(found);
        return;
    }
    auto& state = found->second;
    state.last_resort = !after_outage;
    if (!state.gone_at)
        state.gone_at = now + (after_outage ? return_time_ : last_resort_time_);
}

void runner_directory::expire(time_point now)
{
    for (auto it = runners_.begin(); it != runners_.end();)
    {
        auto const next = std::next(it);
        if (it->second.gone_at && *it->second.gone_at <= now)
            drop(it);
        it = next;
    }
}

void runner_directory::drop(runner_map::iterator it)
{
    auto const address = id_by_address_.find(it->second.entry.address);
    if (address != id_by_address_.end() && address->second == it->first)
        id_by_address_.erase(address);
    runners_.erase(it);
}

void runner_directory::usable(std::string_view service, time_point now,
                              std::vector<runner_state*>& out)
{
    out.clear();
    std::vector<runner_state*> avoided;
    for (auto& it : runners_)
    {
        auto& state = it.second;
        if (state.entry.service != service || state.entry.draining)
            continue;
        bool const poor = state.avoid_until > now || state.last_resort;
        (poor ? avoided : out).push_back(&state);
    }
    if (out.empty())
        out = std::move(avoided);
}

runner_state* runner_directory::find(std::string_view id)
{
    auto const found = runners_.find(id);
    return found == runners_.end() ? nullptr : &found->second;
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

void runner_directory::avoid(runner_state& state, duration least,
                             time_point now)
{
    constexpr std::uint32_t most_doublings = 4;
    auto const factor = 1U << std::min(state.avoidances, most_doublings);
    state.avoid_until = now + std::min<duration>(least * factor, longest_pause);
    ++state.avoidances;
}

void runner_directory::record(runner_state& state, runner_signal signal,
                              duration took, time_point now)
{
    switch (signal)
    {
    case runner_signal::served:
        state.failures = 0;
        state.avoidances = 0;
        average(state.failure_share, 0);
        if (state.latency_s == 0)
            state.latency_s = to_seconds(took);
        average(state.latency_s, to_seconds(took));
        break;
    case runner_signal::failed:
        average(state.failure_share, 1);
        if (state.failure_share > failing_share)
        {
            avoid(state, failing_pause, now);
            state.failure_share = failing_share / 2;
        }
        break;
    case runner_signal::unreachable:
        avoid(state, unreachable_pause, now);
        break;
    case runner_signal::silent:
        average(state.failure_share, 1);
        if (++state.failures >= silent_limit)
            avoid(state, silent_pause, now);
        break;
    case runner_signal::full:
        state.avoid_until = std::max(state.avoid_until, now + full_pause);
        break;
    case runner_signal::replaced:
        state.gone_at = state.gone_at.value_or(now + return_time_);
        state.avoid_until = now + longest_pause;
        break;
    }
}

void note_load(runner_state& state, std::optional<runner_load> load,
               time_point now)
{
    if (!load)
        return;
    state.load = load;
    state.load_at = now;
}

double estimated_load(runner_state const& state, time_point now)
{
    double const own = state.outstanding;
    if (!state.load || now - state.load_at > load_lifetime)
        return own;
    return std::max<double>(own, state.load->running + state.load->waiting);
}

} // namespace buckthornvale::decision::gateway
