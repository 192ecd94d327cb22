#include "model.hpp"

#include <cmath>
#include <limits>

namespace buckthornvale::bench
{

namespace
{

constexpr std::size_t failure_domains = 4;
constexpr std::size_t services = 4;
constexpr std::size_t runners_per_service = 5;
constexpr double slots_per_engine = 4.0;
constexpr double slots_per_service_runner = 2.0;

} // namespace

double deployment::slots(std::size_t pool) const
{
    return pools[pool].slots * static_cast<double>(pools[pool].runners);
}

double deployment::work(rank r, std::size_t pool) const
{
    double sum = 0.0;
    for (auto const& it : pipelines[index_of(r)].stages)
        sum += it.pool == pool ? it.work : 0.0;
    return sum;
}

double deployment::total_work(rank r) const
{
    double sum = 0.0;
    for (auto const& it : pipelines[index_of(r)].stages)
        sum += it.work;
    return sum;
}

deployment make_deployment(std::string name, std::size_t model_runners,
                           std::size_t vms)
{
    deployment out;
    out.vms = vms;
    out.name = std::move(name);
    out.pools.push_back({"model", model_runners, slots_per_engine});
    for (std::size_t n = 1; n <= services; ++n)
        out.pools.push_back({"service" + std::to_string(n), runners_per_service,
                             slots_per_service_runner});
    using kind = stage_kind;
    out.pipelines[0] = {{{kind::encode, 0, 0.03},
                         {kind::plain, 1, 0.06},
                         {kind::generate, 0, 0.35},
                         {kind::plain, 2, 0.06}},
                        2.0};
    out.pipelines[1] = {{{kind::encode, 0, 0.03},
                         {kind::rerank, 0, 0.08},
                         {kind::generate, 0, 0.5},
                         {kind::plain, 3, 0.08}},
                        3.0};
    out.pipelines[2] = {{{kind::encode, 0, 0.03},
                         {kind::generate, 0, 0.9},
                         {kind::plain, 4, 0.1}},
                        10.0};
    std::array<double, rank_count> const worth = {10.0, 3.0, 1.0};
    std::array<double, rank_count> const share = {0.4, 0.35, 0.25};
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        out.ranks[r].target = decision::from_seconds(out.pipelines[r].deadline);
        out.ranks[r].worth = worth[r];
        out.ranks[r].guaranteed_share = share[r];
    }
    return out;
}

std::size_t runner_model::waiting() const
{
    std::size_t sum = 0;
    for (auto const& it : queues)
        sum += it.size();
    return sum;
}

std::vector<runner_model> make_runners(deployment const& shape, double spread)
{
    std::vector<runner_model> out;
    for (std::size_t pool = 0; pool < shape.pools.size(); ++pool)
    {
        auto const count = shape.pools[pool].runners;
        auto const first = out.size();
        double sum = 0.0;
        for (std::size_t n = 0; n < count; ++n)
        {
            // Evenly spaced logarithms; neighbours in speed are in different
            // failure domains.
            auto const position =
                static_cast<double>(n) / static_cast<double>(count - 1);
            runner_model it;
            it.pool = pool;
            it.failure_domain = n % failure_domains;
            it.slots = shape.pools[pool].slots;
            it.speed = std::pow(spread, position);
            sum += it.speed;
            out.push_back(it);
        }
        for (auto n = first; n < out.size(); ++n)
            out[n].speed *= static_cast<double>(count) / sum;
    }
    return out;
}

std::size_t least_loaded::choose(std::vector<runner_model> const& runners,
                                 std::size_t pool)
{
    std::size_t best = 0;
    double best_load = std::numeric_limits<double>::infinity();
    for (std::size_t n = 0; n < runners.size(); ++n)
    {
        auto const& it = runners[n];
        if (it.pool != pool || !it.live)
            continue;
        auto const ahead = static_cast<double>(it.running + it.waiting());
        // A free slot costs one service time, a queue the time to drain it.
        auto const load = std::max(1.0, (ahead + 1.0) / it.slots) / it.speed;
        if (load < best_load)
        {
            best = n;
            best_load = load;
        }
    }
    return best;
}

} // namespace buckthornvale::bench
