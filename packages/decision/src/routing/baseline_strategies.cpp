#include <buckthornvale/decision/routing/baseline_strategies.hpp>
#include <buckthornvale/decision/routing/detail/sampling.hpp>

#include <algorithm>
#include <array>

namespace buckthornvale::decision::routing
{

namespace
{

constexpr std::size_t hot_cold_samples = 5;
constexpr double hot_quantile = 0.84;
//! Step of the stochastic quantile estimate, in requests per slot.
constexpr double quantile_step = 0.02;
//! Bounded hashing: a runner takes at most this multiple of the mean load.
constexpr double load_bound = 1.25;
//! Loads sampled for the mean, so that the cost is independent of the pool's
//! size.
constexpr std::size_t mean_samples = 8;
//! Maximum number of runners that bounded hashing examines before it falls back
//! to a random one.
constexpr std::size_t max_steps = 32;

} // namespace

runner_index random_choice::choose(candidates const& from, pcg32& random)
{
    return detail::draw_allowed(from, random);
}

runner_index round_robin::choose(candidates const& from, pcg32&)
{
    auto const usable = from.usable();
    for (std::size_t i = 0; i < usable.size(); ++i)
    {
        auto const index = usable[next_++ % usable.size()];
        if (from.allowed(index))
            return index;
    }
    return no_index;
}

runner_index least_request::choose(candidates const& from, pcg32& random)
{
    auto const usable = from.usable();
    if (usable.empty())
        return no_index;
    // A random first position makes VMs break ties differently.
    std::size_t const n = usable.size();
    std::size_t const first = random(static_cast<std::uint32_t>(n));
    detail::lowest_cost best;
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const index = usable[(first + i) % n];
        if (from.allowed(index))
            best.offer(index, from.own_load(index));
    }
    return best.index();
}

runner_index two_choices::choose(candidates const& from, pcg32& random)
{
    detail::lowest_cost best;
    for (int i = 0; i < 2; ++i)
    {
        auto const index = detail::draw_allowed(from, random);
        if (index != no_index)
            best.offer(index, from.own_load(index));
    }
    return best.index();
}

runner_index hot_cold::choose(candidates const& from, pcg32& random)
{
    detail::lowest_cost cold;
    detail::lowest_cost hot;
    for (std::size_t i = 0; i < hot_cold_samples; ++i)
    {
        auto const index = detail::draw_allowed(from, random);
        if (index == no_index)
            return no_index;
        double const load = from.load(index);
        if (load > hot_threshold_)
        {
            hot.offer(index, load);
            hot_threshold_ += quantile_step * hot_quantile;
            continue;
        }
        cold.offer(index, from.latency(index));
        hot_threshold_ -= quantile_step * (1. - hot_quantile);
    }
    return cold.index() != no_index ? cold.index() : hot.index();
}

runner_index bounded_hash::choose(candidates const& from, pcg32& random)
{
    auto const usable = from.usable();
    auto const& query = from.query();
    bool const has_key = !query.prefix_blocks.empty() || query.adapter != 0;
    if (usable.empty() || !has_key)
        return detail::draw_allowed(from, random);
    double sum = 0.;
    for (std::size_t i = 0; i < mean_samples; ++i)
        sum += from.load(detail::draw(usable, random));
    double const bound = load_bound * sum / double(mean_samples) + 1.;
    auto const key = query.prefix_blocks.empty() ? query.adapter
                                                 : query.prefix_blocks.front();
    auto const steps = std::min(max_steps, usable.size());
    for (std::size_t i = 0; i < steps; ++i)
    {
        auto const index = usable[(key + i) % usable.size()];
        if (from.allowed(index) && from.load(index) <= bound)
            return index;
    }
    return detail::draw_allowed(from, random);
}

} // namespace buckthornvale::decision::routing
