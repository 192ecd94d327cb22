//! Cost of admission decisions against the number of active organisations.

#include <buckthornvale/decision/admission/admission_controller.hpp>
#include <buckthornvale/decision/admission/space_saving.hpp>

#include <benchmark/benchmark.h>
#include <pcg_random.hpp>

#include <malloc.h>
#include <unordered_map>

namespace
{

using namespace buckthornvale::decision;
using namespace buckthornvale::decision::admission;

constexpr std::size_t pool_count = 5;

//! Allocated heap in bytes.
double heap()
{
    return static_cast<double>(mallinfo2().uordblks);
}

class driver
{
public:
    explicit driver(double slots) : controller_(admission_settings{}, 1)
    {
        rank_table ranks;
        ranks[0].guaranteed_share = 0.4;
        ranks[1].guaranteed_share = 0.35;
        ranks[2].guaranteed_share = 0.25;
        controller_.set_ranks(ranks);
        for (std::size_t n = 0; n < pool_count; ++n)
        {
            stages_.push_back({pool_id{n + 1}, std::chrono::milliseconds(100)});
            controller_.set_pool_capacity(pool_id{n + 1}, slots, now_);
        }
    }

    request_id admit(std::uint64_t organisation)
    {
        admission_request request;
        request.request = {1, ++count_};
        request.organisation = organisation_id{organisation};
        request.work_rank = all_ranks[count_ % rank_count];
        request.deadline = now_ + std::chrono::hours(1);
        request.stages = stages_;
        request.expected_total = std::chrono::milliseconds(500);
        benchmark::DoNotOptimize(controller_.admit(request, now_));
        return request.request;
    }

    void poll()
    {
        dispatched_.clear();
        expired_.clear();
        controller_.poll(now_, dispatched_, expired_);
    }

    void finish(request_id id) { controller_.finished(id, now_); }

    void advance(duration step) { now_ += step; }

    std::vector<request_id> const& dispatched() const { return dispatched_; }
    admission_controller& controller() { return controller_; }
    time_point now() const { return now_; }

private:
    admission_controller controller_;
    std::vector<stage_demand> stages_;
    std::vector<request_id> dispatched_;
    std::vector<request_id> expired_;
    std::uint64_t count_ = 0;
    time_point now_ = time_point(std::chrono::seconds(1));
};

//! Admission and end of a request when nothing waits.
void admit_and_finish(benchmark::State& state)
{
    auto const organisations = static_cast<std::uint64_t>(state.range(0));
    auto const before = heap();
    driver it(1e6);
    for (std::uint64_t n = 0; n < organisations; ++n)
        it.finish(it.admit(n + 1));
    state.counters["bytes_per_organisation"] =
        (heap() - before) / static_cast<double>(organisations);
    pcg32 random(1);
    while (state.KeepRunning())
    {
        it.advance(std::chrono::microseconds(100));
        it.finish(it.admit(random(state.range(0)) + 1));
    }
}
BENCHMARK(admit_and_finish)->Arg(5)->Arg(1000)->Arg(48000);

//! One dispatch from a full queue, and the request that takes its place.
void poll_under_overload(benchmark::State& state)
{
    driver it(20);
    pcg32 random(1);
    auto const any = [&]
    { return random(static_cast<std::uint32_t>(state.range(0))) + 1U; };
    std::vector<request_id> running;
    for (int n = 0; n < 4000; ++n)
        it.admit(any());
    it.poll();
    running = it.dispatched();
    std::size_t next = 0;
    while (state.KeepRunning())
    {
        it.advance(std::chrono::microseconds(100));
        if (next < running.size())
            it.finish(running[next++]);
        it.admit(any());
        it.poll();
        running.insert(running.end(), it.dispatched().begin(),
                       it.dispatched().end());
    }
    state.counters["queued"] =
        static_cast<double>(it.controller().counts().queued);
}
BENCHMARK(poll_under_overload)->Arg(5)->Arg(1000)->Arg(48000);

//! A summary for the peers, once a second.
void local_demand(benchmark::State& state)
{
    driver it(1e6);
    for (std::uint64_t n = 0; n < static_cast<std::uint64_t>(state.range(0));
         ++n)
        it.finish(it.admit(n + 1));
    while (state.KeepRunning())
        benchmark::DoNotOptimize(it.controller().local_demand(it.now()));
}
BENCHMARK(local_demand)->Arg(5)->Arg(1000)->Arg(48000);

//! Finding the heaviest with a sketch: cost of one update.
void sketch_update(benchmark::State& state)
{
    space_saving sketch(128);
    pcg32 random(1);
    while (state.KeepRunning())
        sketch.add(organisation_id{random(state.range(0)) + 1U}, 1.0);
}
BENCHMARK(sketch_update)->Arg(5)->Arg(1000)->Arg(48000);

//! Finding the heaviest exactly: cost of one summary over all records.
void exact_heaviest(benchmark::State& state)
{
    std::unordered_map<std::uint64_t, double> rates;
    pcg32 random(1);
    for (std::uint32_t n = 0; n < state.range(0); ++n)
        rates[n * 0x9e3779b97f4a7c15ULL] = random(1000000);
    std::vector<std::pair<double, std::uint64_t>> order;
    while (state.KeepRunning())
    {
        order.clear();
        for (auto const& [id, rate] : rates)
            order.emplace_back(rate, id);
        auto const n = std::min<std::size_t>(32, order.size());
        std::partial_sort(order.begin(),
                          order.begin() + static_cast<std::ptrdiff_t>(n),
                          order.end(), std::greater<>());
        benchmark::DoNotOptimize(order.data());
    }
}
BENCHMARK(exact_heaviest)->Arg(5)->Arg(1000)->Arg(48000);

} // namespace

BENCHMARK_MAIN();
