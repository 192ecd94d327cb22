#include "allocations.hpp"
#include <buckthornvale/decision/isolation/crash_isolation.hpp>
#include <buckthornvale/decision/routing/router.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <numeric>
#include <string>
#include <vector>

namespace
{

using namespace buckthornvale::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t prompt_blocks = 48;
constexpr std::uint64_t prompts = 256;
constexpr std::size_t domains = 7;

pool_id pool()
{
    return pool_id::of("generate");
}

failure_domain_id domain(std::size_t i)
{
    return failure_domain_id::of("domain-" + std::to_string(i % domains));
}

//! A router that has run for a while: reports, learnt speeds, cached prompts.
struct busy_router
{
    busy_router(std::size_t n, routing::strategy_kind kind)
        : settings(with(kind)), route(settings, 1)
    {
        for (std::size_t i = 0; i < n; ++i)
            runners.push_back({runner_id::of("runner-" + std::to_string(i)),
                               pool(), domain(i), 8.});
        route.set_runners(pool(), runners, now);
        route.set_fleet_size(8, now);
        for (std::size_t i = 0; i < n; ++i)
            route.report({runners[i].id, milliseconds(200), double(i % 9),
                          double(i % 3), 100., 1},
                         now);
        for (std::uint64_t i = 0; i < prompts; ++i)
            run(i);
    }

    static routing::routing_settings with(routing::strategy_kind kind)
    {
        routing::routing_settings result;
        result.strategy = kind;
        return result;
    }

    void run(std::uint64_t i)
    {
        auto const it = query(i);
        auto const runner = route.choose(it, now);
        attempt_id const attempt{1, i};
        route.sent(*runner, attempt, it, now);
        now += milliseconds(1);
        route.finished(attempt, routing::attempt_result::completed,
                       milliseconds(80), now);
    }

    routing::route_query query(std::uint64_t i)
    {
        auto& blocks = prompt[i % prompts];
        std::iota(blocks.begin(), blocks.end(), (i % prompts + 1) << 32U);
        routing::route_query result;
        result.pool = pool();
        result.local_domain = domain(0);
        result.prefix_blocks = blocks;
        result.adapter = i % 40 + 1;
        result.expected_work = milliseconds(100);
        return result;
    }

    routing::routing_settings settings;
    routing::router route;
    std::vector<routing::runner_info> runners;
    std::array<std::array<std::uint64_t, prompt_blocks>, prompts> prompt{};
    time_point now{seconds(1000)};
};

//! Nanoseconds at a quantile of single calls, clock reads included.
double quantile(std::vector<double>& times, double share)
{
    auto const at = static_cast<std::size_t>(share * double(times.size() - 1));
    auto const middle = times.begin() + static_cast<std::ptrdiff_t>(at);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

void choose(benchmark::State& state, routing::strategy_kind kind)
{
    auto const n = static_cast<std::size_t>(state.range(0));
    busy_router it(n, kind);
    for (std::uint64_t i = 0; i < prompts; ++i)
        it.query(i);
    std::vector<double> times;
    times.reserve(std::size_t{1} << 22U);
    std::uint64_t i = 0;
    auto const before = buckthornvale::bench::allocations();
    while (state.KeepRunning())
    {
        auto const query = it.query(i++);
        auto const start = std::chrono::steady_clock::now();
        benchmark::DoNotOptimize(it.route.choose(query, it.now));
        std::chrono::duration<double> const took =
            std::chrono::steady_clock::now() - start;
        state.SetIterationTime(took.count());
        if (times.size() < times.capacity())
            times.push_back(took.count() * 1e9);
    }
    auto const allocated = buckthornvale::bench::allocations() - before;
    state.counters["allocations"] = double(allocated);
    state.counters["p50_ns"] = quantile(times, 0.5);
    state.counters["p99_ns"] = quantile(times, 0.99);
    state.counters["bytes_per_runner"] =
        double(it.route.runner_bytes()) / double(n);
    state.counters["index_kb"] = double(it.route.index_bytes()) / 1024.;
}

void apply_sizes(benchmark::internal::Benchmark* it)
{
    it->Arg(10)->Arg(20)->Arg(100)->Arg(355)->Arg(710)->UseManualTime();
}

BENCHMARK_CAPTURE(choose, expected_completion,
                  routing::strategy_kind::expected_completion)
    ->Apply(apply_sizes);
BENCHMARK_CAPTURE(choose, two_choices, routing::strategy_kind::two_choices)
    ->Apply(apply_sizes);
BENCHMARK_CAPTURE(choose, hot_cold, routing::strategy_kind::hot_cold)
    ->Apply(apply_sizes);
BENCHMARK_CAPTURE(choose, bounded_hash, routing::strategy_kind::bounded_hash)
    ->Apply(apply_sizes);
BENCHMARK_CAPTURE(choose, least_request, routing::strategy_kind::least_request)
    ->Apply(apply_sizes);

//! One attempt's whole life: choose, sent, finished.
void attempt(benchmark::State& state)
{
    busy_router it(static_cast<std::size_t>(state.range(0)),
                   routing::strategy_kind::expected_completion);
    std::uint64_t i = 0;
    while (state.KeepRunning())
        it.run(i++);
}
BENCHMARK(attempt)->Arg(10)->Arg(710);

void load_report(benchmark::State& state)
{
    busy_router it(710, routing::strategy_kind::expected_completion);
    std::uint64_t i = 0;
    while (state.KeepRunning())
    {
        auto const id = it.runners[i % it.runners.size()].id;
        it.now += milliseconds(1);
        it.route.report({id, milliseconds(200), 3., 1., 100., ++i}, it.now);
    }
}
BENCHMARK(load_report);

void isolation_check(benchmark::State& state)
{
    isolation::crash_isolation it({}, 1);
    time_point const now{seconds(1000)};
    std::string const input(4096, 'x');
    auto const marked = static_cast<int>(state.range(0));
    for (int i = 0; i < marked; ++i)
    {
        auto const content =
            isolation::fingerprint_of(pipeline_id::of("replies"),
                                      organisation_id{std::uint64_t(i)}, input);
        it.attempt_started(runner_id{1}, content, now);
        it.runner_crashed(runner_id{1}, now);
    }
    std::uint64_t i = 0;
    while (state.KeepRunning())
    {
        auto const content = isolation::fingerprint_of(
            pipeline_id{1}, organisation_id{++i}, input);
        benchmark::DoNotOptimize(it.check(content, now));
    }
}
BENCHMARK(isolation_check)->Arg(0)->Arg(4096);

} // namespace
