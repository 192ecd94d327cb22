#include "scenario.hpp"

#include <pcg_random.hpp>

#include <algorithm>
#include <random>

namespace buckthornvale::bench
{

namespace
{

//! Parts of the model pool that the ranks use at normal load.
constexpr std::array<double, rank_count> normal_use = {0.15, 0.30, 0.15};

constexpr double work_sigma = 0.4; //!< of the logarithm
constexpr std::size_t small_callers = 40;
constexpr double small_part = 0.15; //!< of the load, over all small callers
constexpr double flood = 10.0;

caller make_caller(deployment const& shape, std::string name, double part)
{
    caller out;
    out.name = std::move(name);
    for (auto r : decision::all_ranks)
        out.rate[index_of(r)] =
            part * normal_use[index_of(r)] * shape.slots(0) / shape.work(r, 0);
    return out;
}

std::vector<caller> make_callers(deployment const& shape)
{
    constexpr std::array<double, 5> parts = {0.30, 0.25, 0.20, 0.05, 0.05};
    std::vector<caller> out;
    for (std::size_t n = 0; n < parts.size(); ++n)
        out.push_back(
            make_caller(shape, "organisation" + std::to_string(n), parts[n]));
    for (std::size_t n = 0; n < small_callers; ++n)
    {
        out.push_back(make_caller(shape, "small" + std::to_string(n),
                                  small_part / small_callers));
        out.back().small = true;
    }
    return out;
}

scenario flooded(deployment const& shape, std::string name, rank r)
{
    scenario out;
    out.name = std::move(name);
    out.callers = make_callers(shape);
    for (auto& it : out.callers)
        it.event_factor[index_of(r)] = flood;
    return out;
}

void multiply(caller& it, double factor)
{
    for (auto& f : it.event_factor)
        f *= factor;
}

} // namespace

std::vector<scenario> make_scenarios(deployment const& shape)
{
    std::vector<scenario> out;
    scenario normal;
    normal.name = "normal";
    normal.callers = make_callers(shape);
    out.push_back(normal);
    out.push_back(flooded(shape, "flood_background", rank::background));
    out.push_back(flooded(shape, "flood_urgent", rank::urgent));

    auto halved = normal;
    halved.name = "pool_halved";
    halved.halve_models = true;
    out.push_back(halved);

    auto tenfold = normal;
    tenfold.name = "tenfold_caller";
    multiply(tenfold.callers[0], flood);
    out.push_back(tenfold);

    auto twice = normal;
    twice.name = "twice_capacity";
    double const use = normal_use[0] + normal_use[1] + normal_use[2];
    for (auto& it : twice.callers)
        multiply(it, 2.0 / use);
    out.push_back(twice);

    auto spread = normal;
    spread.name = "spread_caller";
    spread.callers[0].rate = spread.callers[1].rate;
    multiply(spread.callers[0], 6.0);
    multiply(spread.callers[1], 6.0);
    spread.callers[1].only_vm = 0;
    out.push_back(spread);
    return out;
}

std::vector<arrival> make_arrivals(scenario const& load,
                                   deployment const& shape, std::uint64_t seed)
{
    std::vector<arrival> out;
    for (std::size_t n = 0; n < load.callers.size(); ++n)
    {
        auto const& source = load.callers[n];
        for (auto r : decision::all_ranks)
        {
            pcg32 random(seed, n * rank_count + index_of(r));
            std::exponential_distribution<double> gap(1.0);
            std::lognormal_distribution<double> factor(
                -0.5 * work_sigma * work_sigma, work_sigma);
            std::uniform_int_distribution<std::size_t> vm(0, shape.vms - 1);
            auto const rate = source.rate[index_of(r)];
            double at = 0.0;
            for (;;)
            {
                auto const present =
                    at < load.event_at
                        ? rate
                        : rate * source.event_factor[index_of(r)];
                at += gap(random) / present;
                if (at >= load.length)
                    break;
                arrival it;
                it.at = at;
                it.caller = n;
                it.vm = vm(random);
                it.vm = source.only_vm.value_or(it.vm);
                it.work_rank = r;
                for (auto const& stage : shape.pipelines[index_of(r)].stages)
                    it.work.push_back(stage.work * factor(random));
                out.push_back(std::move(it));
            }
        }
    }
    std::sort(out.begin(), out.end(),
              [](auto const& a, auto const& b) { return a.at < b.at; });
    return out;
}

} // namespace buckthornvale::bench
