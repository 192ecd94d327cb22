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

//! A share of a runner's limit that was not used for this long is used by the
//! next request. Nothing else tells what became of the limit.
constexpr duration max_share_idle_time = std::chrono::seconds(2);

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
std::uint64_t session_of(engine_request const& request)
{
    auto const& prompt = request.prompt;
    if (prompt.empty())
        return request.seed;
    return prompt.size() == 1 ? prompt[0].id : prompt[prompt.size() - 2].id;
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

runner_state* choose_engine_runner(absl::Span<runner_state* const> runners,
                                   engine_request const& request,
                                   time_point now)
{
    if (runners.empty())
        return nullptr;
    auto const key = std::to_string(session_of(request));
    double total = 0;
    struct candidate
    {
        std::uint64_t weight;
        double load;
        runner_state* runner;
    };
    std::vector<candidate> candidates;
    for (auto* it : runners)
    {
        auto const weight =
            fleet::rendezvous_weight(key, vm_id::of(it->entry.id));
        double const load = estimated_load(*it, now);
        total += load;
        candidates.push_back({weight, load, it});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& a, candidate const& b)
              { return a.weight > b.weight; });
    double const bound =
        load_factor * total / double(runners.size()) + load_slack;
    for (auto const& it : candidates)
        if (it.load <= bound && it.load < it.runner->entry.slots)
            return it.runner;
    return std::min_element(candidates.begin(), candidates.end(),
                            [](candidate const& a, candidate const& b)
                            { return a.load < b.load; })
        ->runner;
}

} // namespace buckthornvale::decision::gateway
