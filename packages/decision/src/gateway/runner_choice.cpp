#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/fleet/rendezvous.hpp>
#include <buckthornvale/decision/gateway/runner_choice.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Assumed latency of a runner without a successful send.
constexpr double default_latency_s = 0.02;

//! Additional latency of a runner in another failure domain: one round trip.
constexpr double cross_domain_latency_s = 0.001;

//! A runner accepts a session while its load is below this multiple of the mean
//! plus a constant. The constant keeps sessions in place while the load of the
//! fleet is low.
constexpr double load_factor = 1.6;
constexpr double load_slack = 3;

//! A session leaves its runner if it can expect its first event earlier by more
//! than this time plus this share elsewhere. Smaller gains do not outweigh that
//! its later requests find their prompts unread.
constexpr duration move_slack = std::chrono::milliseconds(50);
constexpr double move_slack_share = 0.5;

//! A share of a runner's limit that was not used for this long is used by the
//! next request. Nothing else tells what became of the limit.
constexpr duration max_share_idle_time = std::chrono::seconds(2);

//! A session has at most this many runners while their load is within the
//! bound. More would each read the shared parts of its prompts.
constexpr std::size_t max_session_runners = 3;

double expected_time(runner_state const& it, std::string_view own_domain,
                     time_point now)
{
    double const latency = it.latency_s > 0 ? it.latency_s : default_latency_s;
    double const slots = std::max<std::uint32_t>(1, it.entry.slots);
    double const load = estimated_load(it, now);
    double const queue = std::max(0.0, load + 1 - slots) / slots;
    double const busy = load / slots;
    double const domain_latency_s =
        it.entry.failure_domain == own_domain ? 0 : cross_domain_latency_s;
    return latency * (1 + queue + busy * 0.3) * (1 + it.failure_share * 4) +
           domain_latency_s;
}

//! Identifies the session by the prompt segment that its requests share: the
//! last but one, since the last segment belongs to the request itself.
std::uint64_t session_of(engine_request const& work)
{
    auto const& prompt = work.prompt;
    if (prompt.empty())
        return work.seed;
    return prompt.size() == 1 ? prompt[0].id : prompt[prompt.size() - 2].id;
}

//! Returns the lower median, or 0 without values.
double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    auto const middle = values.begin() + std::ptrdiff_t(values.size() - 1) / 2;
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

//! What is usual among the runners that reported lately. A mean would follow a
//! single absurd report.
other_requests usual_others(absl::Span<runner_state* const> runners,
                            time_point now)
{
    std::vector<double> running;
    std::vector<double> waiting;
    for (auto const* it : runners)
    {
        auto const reported = it->engine.reported_others(now);
        if (!reported)
            continue;
        running.push_back(reported->running);
        waiting.push_back(reported->waiting);
    }
    return {median(std::move(running)), median(std::move(waiting))};
}

std::vector<runner_state*>
in_session_order(absl::Span<runner_state* const> runners,
                 engine_request const& work)
{
    auto const key = std::to_string(session_of(work));
    std::vector<std::pair<std::uint64_t, runner_state*>> weighted;
    weighted.reserve(runners.size());
    for (auto* it : runners)
        weighted.emplace_back(
            fleet::rendezvous_weight(key, vm_id::of(it->entry.id)), it);
    std::stable_sort(weighted.begin(), weighted.end(),
                     [](auto const& a, auto const& b)
                     { return a.first > b.first; });
    std::vector<runner_state*> out;
    out.reserve(weighted.size());
    for (auto const& it : weighted)
        out.push_back(it.second);
    return out;
}

//! Returns the first choice that is expected to be about as fast as the best
//! one.
runner_choice const& first_fast_one(absl::Span<runner_choice const> choices)
{
    auto const best = std::min_element(
        choices.begin(), choices.end(),
        [](runner_choice const& a, runner_choice const& b)
        { return a.expected.first_event < b.expected.first_event; });
    double const limit_s =
        to_seconds(best->expected.first_event) * (1 + move_slack_share) +
        to_seconds(move_slack);
    return *std::find_if(
        choices.begin(), choices.end(),
        [&](runner_choice const& it)
        { return to_seconds(it.expected.first_event) <= limit_s; });
}

} // namespace

runner_state* find_idle_share(absl::Span<runner_state* const> runners,
                              time_point now)
{
    runner_state* out = nullptr;
    auto oldest = now - max_share_idle_time;
    for (auto* it : runners)
    {
        auto const& limit = it->notice.rate_limit;
        if (!limit || limit->share.next_send() > oldest)
            continue;
        oldest = limit->share.next_send();
        out = it;
    }
    return out;
}

runner_state* choose_service_runner(absl::Span<runner_state* const> runners,
                                    std::uint64_t seed,
                                    std::string_view own_domain, time_point now)
{
    if (runners.empty())
        return nullptr;
    std::size_t const first = seed % runners.size();
    std::size_t const step =
        runners.size() == 1 ? 0 : 1 + (seed >> 32U) % (runners.size() - 1);
    auto* a = runners[first];
    auto* b = runners[(first + step) % runners.size()];
    return expected_time(*b, own_domain, now) <
                   expected_time(*a, own_domain, now)
               ? b
               : a;
}

runner_choice choose_engine_runner(absl::Span<runner_state* const> runners,
                                   engine_request const& work,
                                   engine_limits const& limits,
                                   engine_profile const& profile,
                                   time_point now, runner_state* preferred)
{
    auto const usual = usual_others(runners, now);
    auto const ordered = in_session_order(runners, work);
    auto const has_room = [&](runner_state const* it)
    { return it->engine.has_room(work, limits.cache_tokens); };
    auto const load_of = [&](runner_state const* it)
    { return it->outstanding + it->engine.others(usual, now).total(); };
    auto const expect = [&](runner_state* it)
    {
        // Other VMs send the session to its first runner, but not what that
        // runner has refused.
        bool const is_first = !work.was_sent && it == ordered.front();
        runner_choice out{it,
                          it->engine.expect(work, is_first,
                                            it->engine.others(usual, now),
                                            profile, now),
                          load_of(it)};
        out.expected.exceeds_memory =
            engine_load::exceeds_memory(work, limits.cache_tokens);
        return out;
    };
    if (preferred != nullptr && has_room(preferred))
        return expect(preferred);
    double total = 0;
    for (auto const* it : ordered)
        total += load_of(it);
    double const bound =
        load_factor * total / double(runners.size()) + load_slack;
    std::vector<runner_choice> candidates;
    for (auto* it : ordered)
    {
        double const load = load_of(it);
        if (load <= bound && load < it->entry.slots && has_room(it))
            candidates.push_back(expect(it));
        if (candidates.size() == max_session_runners)
            break;
    }
    if (!candidates.empty())
        return first_fast_one(candidates);
    // The fleet is overloaded. It must not read the prompts of each session
    // everywhere now.
    for (auto* it : ordered)
        if (candidates.size() < max_session_runners && has_room(it))
            candidates.push_back(expect(it));
    return candidates.empty() ? runner_choice() : first_fast_one(candidates);
}

} // namespace buckthornvale::decision::gateway
