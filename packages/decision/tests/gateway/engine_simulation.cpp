#include "engine_simulation.hpp"

#include "uniform.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr time_point simulation_start{100s};
constexpr std::uint32_t slots = 48;
constexpr double cache_tokens = 350'000;
constexpr double chunk_tokens = 512;
constexpr double read_tokens_per_s = 40'000;
constexpr double step_s = 0.004;

//! Additional time of a step for each running request.
constexpr double request_step_s = 0.0001;

} // namespace

engine_simulation::engine_simulation(engine_scenario scenario)
    : scenario_(std::move(scenario)), random_(scenario_.seed),
      now_(simulation_start), engines_(scenario_.slowdowns.size()),
      vms_(scenario_.vm_count)
{
    for (std::size_t n = 0; n < engines_.size(); ++n)
        engines_[n].slowdown = scenario_.slowdowns[n];
    for (auto& it : vms_)
    {
        it.runners.resize(engines_.size());
        for (std::size_t n = 0; n < engines_.size(); ++n)
        {
            it.runners[n].entry.id = "r-" + std::to_string(n);
            it.runners[n].entry.slots = slots;
        }
    }
    add_arrivals();
}

void engine_simulation::add_arrivals()
{
    request_ref next = 1;
    for (std::size_t n = 0; n < scenario_.loads.size(); ++n)
    {
        auto const& load = scenario_.loads[n];
        auto at = simulation_start;
        while (at < simulation_start + scenario_.length)
        {
            at +=
                from_seconds(-std::log(1 - uniform(random_)) / load.per_second);
            prompt it;
            it.ref = next++;
            it.load = n;
            it.vm = random_(std::uint32_t(vms_.size()));
            it.priority = load.rank;
            auto const kind = (n + 1) << 32U;
            auto const session = random_(std::uint32_t(load.sessions));
            it.parts = {{kind, load.common_tokens},
                        {kind + 1 + session, load.session_tokens},
                        {it.ref << 40U, load.own_tokens}};
            it.output_left = load.output_tokens;
            it.arrived_at = at;
            arrivals_.emplace(at, std::move(it));
        }
    }
}

void engine_simulation::run()
{
    while (!arrivals_.empty() || !steps_.empty())
    {
        bool const arrival =
            !arrivals_.empty() && (steps_.empty() || arrivals_.begin()->first <=
                                                         steps_.begin()->first);
        if (arrival)
        {
            auto it = std::move(arrivals_.extract(arrivals_.begin()).mapped());
            now_ = it.arrived_at;
            arrive(std::move(it));
        }
        else
        {
            auto const next = *steps_.begin();
            steps_.erase(steps_.begin());
            now_ = next.first;
            step(next.second);
        }
    }
}

void engine_simulation::arrive(prompt it)
{
    auto& sender = vms_[it.vm];
    std::vector<runner_state*> runners;
    for (auto& state : sender.runners)
        runners.push_back(&state);
    engine_request work;
    work.prompt = it.parts;
    work.output_tokens = it.output_left;
    engine_limits limits;
    limits.cache_tokens = cache_tokens;
    auto const choice =
        choose_engine_runner(runners, work, limits, sender.profile, now_);
    auto& state = *choice.runner;
    ++state.outstanding;
    if (!scenario_.count_only)
    {
        state.engine.sent(it.ref, work, choice.expected, now_);
        sender.profile.record_send(choice.expected.unread_tokens);
    }
    auto const n = std::size_t(&state - sender.runners.data());
    auto& engine = engines_[n];
    auto const before =
        std::find_if(engine.waiting.begin(), engine.waiting.end(),
                     [&](prompt const& o) { return o.priority > it.priority; });
    engine.waiting.insert(before, std::move(it));
    if (!engine.busy)
        schedule_step(n);
}

double engine_simulation::take_uncached(fake_engine& engine, prompt const& it)
{
    double out = 0;
    for (auto const& part : it.parts)
    {
        if (!engine.cached.insert(part.id).second)
            continue;
        out += part.tokens;
        if (!read_somewhere_.insert(part.id).second)
            tokens_read_again_ += part.tokens;
    }
    tokens_read_ += out;
    return out;
}

void engine_simulation::schedule_step(std::size_t n)
{
    auto& engine = engines_[n];
    engine.busy = !engine.waiting.empty() || !engine.running.empty();
    if (!engine.busy)
        return;
    double budget = chunk_tokens;
    for (auto it = engine.waiting.begin();
         it != engine.waiting.end() && budget > 0; ++it)
    {
        if (!it->unread)
            it->unread = take_uncached(engine, *it);
        double const read = std::min(budget, *it->unread);
        budget -= read;
        *it->unread -= read;
    }
    bool const late = now_ > simulation_start + scenario_.length / 2;
    double const slowdown =
        engine.slowdown * (n == 0 && late ? scenario_.later_slowdown : 1);
    double const seconds = step_s +
                           request_step_s * double(engine.running.size()) +
                           (chunk_tokens - budget) / read_tokens_per_s;
    steps_.emplace(now_ + from_seconds(seconds * slowdown), n);
}

void engine_simulation::step(std::size_t n)
{
    auto& engine = engines_[n];
    std::vector<prompt> still_running;
    for (auto& it : engine.running)
    {
        if (--it.output_left > 0)
        {
            still_running.push_back(std::move(it));
            continue;
        }
        auto& state = vms_[it.vm].runners[n];
        --state.outstanding;
        state.engine.ended(it.ref);
    }
    engine.running = std::move(still_running);
    while (!engine.waiting.empty() && engine.waiting.front().unread == 0.0 &&
           engine.running.size() < slots)
    {
        auto const it = std::move(engine.waiting.front());
        engine.waiting.pop_front();
        engine.running.push_back(it);
        start(n, it);
    }
    schedule_step(n);
}

void engine_simulation::start(std::size_t n, prompt const& it)
{
    auto const elapsed = now_ - it.arrived_at;
    auto const& load = scenario_.loads[it.load];
    auto& seen = outcomes_[load.name];
    ++seen.prompts;
    seen.on_time += elapsed <= load.target ? 1 : 0;
    if (scenario_.count_only)
        return;
    auto& sender = vms_[it.vm];
    auto& state = sender.runners[n];
    if (auto const sample = state.engine.started(it.ref, now_))
        sender.profile.record_first_event(*sample);
    auto const& engine = engines_[n];
    // The figure varies from one moment to the next.
    state.engine.report({std::uint32_t(engine.running.size()),
                         std::uint32_t(engine.waiting.size()), slots,
                         engine.slowdown * (0.7 + 0.6 * uniform(random_))},
                        now_);
}

} // namespace buckthornvale::decision::gateway
