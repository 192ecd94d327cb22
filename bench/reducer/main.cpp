// Time of one reducer step for each kind of event at target size: 48,000
// organisations, 33 pipelines, 27 model pools, 710 runners and 330 VMs.
// The target is 10 us. Prints the mean as the time and p50, p99 and the
// slowest step as counters in us.

#include "target_vm.hpp"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include <algorithm>
#include <vector>

namespace
{

using namespace buckthornvale;
using namespace buckthornvale::decision;
using bench::fleet_size;
using bench::target_vm;
using std::chrono::milliseconds;

constexpr int steps = 2000;
constexpr int slow_steps = 50;
// 25 requests/s per node that last up to 3 s.
constexpr int requests_at_once = 75;

target_vm& in_fleet()
{
    static target_vm vm(fleet_size::target);
    return vm;
}

target_vm& alone()
{
    static target_vm vm(fleet_size::alone);
    return vm;
}

void report(benchmark::State& state, std::vector<double>& samples)
{
    if (samples.empty())
        return state.SkipWithError("no step was measured");
    std::sort(samples.begin(), samples.end());
    auto const at = [&](double fraction)
    {
        auto const last = static_cast<double>(samples.size() - 1);
        return samples[static_cast<std::size_t>(fraction * last)] * 1e6;
    };
    state.counters["p50_us"] = at(0.5);
    state.counters["p99_us"] = at(0.99);
    state.counters["max_us"] = at(1.);
}

//! Times one event per iteration. `prepare` gives the event, `finish` undoes
//! its effects; neither is timed.
template <class Prepare, class Finish>
void run(benchmark::State& state, target_vm& vm, Prepare prepare, Finish finish)
{
    std::vector<double> samples;
    while (state.KeepRunning())
    {
        event const value = prepare();
        auto const seconds = vm.timed(value);
        state.SetIterationTime(seconds);
        samples.push_back(seconds);
        finish();
    }
    report(state, samples);
}

template <class Prepare>
void run(benchmark::State& state, target_vm& vm, Prepare prepare)
{
    run(state, vm, prepare, [&] { vm.advance(milliseconds(10)); });
}

void finish_requests(target_vm& vm)
{
    vm.drain_requests();
    vm.advance(milliseconds(10));
}

void start_requests(target_vm& vm, int count)
{
    for (int n = 0; n < count; ++n)
        vm.post(vm.next_request());
}

void ticked_idle(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm, [&] { return ticked{vm.wall()}; },
        [&] { vm.advance(milliseconds(10)); });
}

void ticked_busy(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm,
        [&]
        {
            start_requests(vm, requests_at_once);
            return ticked{vm.wall()};
        },
        [&] { finish_requests(vm); });
}

void request_received(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm, [&] { return vm.next_request(); },
        [&] { finish_requests(vm); });
}

void booking_received(benchmark::State& state)
{
    auto& vm = alone();
    run(
        state, vm, [&] { return vm.next_booking(); },
        [&] { finish_requests(vm); });
}

void caller_gone(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm,
        [&]
        {
            auto const request = vm.next_request();
            vm.post(request);
            return requests::caller_gone{request.request};
        },
        [&]
        {
            vm.attempts.clear();
            vm.advance(milliseconds(10));
        });
}

void outcome_asked(benchmark::State& state)
{
    auto& vm = alone();
    run(
        state, vm,
        [&]
        {
            auto const booking = vm.next_booking();
            vm.post(booking);
            finish_requests(vm);
            requests::outcome_queried question;
            question.request = vm.next_request().request;
            question.organisation = booking.call.organisation;
            question.key_sha256 = booking.call.key_sha256;
            question.idempotency_key = booking.call.idempotency_key;
            question.issued_at = booking.call.issued_at;
            question.received_at = vm.wall();
            return question;
        },
        [&] { finish_requests(vm); });
}

void attempt_ended_stage(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm,
        [&]
        {
            vm.post(vm.next_request());
            return target_vm::completion(vm.take_attempt());
        },
        [&] { finish_requests(vm); });
}

void attempt_ended_last(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm,
        [&]
        {
            auto request = vm.next_request();
            request.call.pipeline = "pipeline-4"; // three stages
            vm.post(request);
            vm.post(target_vm::completion(vm.take_attempt()));
            vm.post(target_vm::completion(vm.take_attempt()));
            return target_vm::completion(vm.take_attempt());
        },
        [&] { finish_requests(vm); });
}

void attempt_token(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm,
        [&]
        {
            auto request = vm.next_request();
            request.call.pipeline = "pipeline-4";
            request.call.stream = true;
            vm.post(request);
            auto const attempt = vm.attempts.front().attempt;
            return requests::attempt_token{attempt, attempt, 0, "word "};
        },
        [&] { finish_requests(vm); });
}

void service_outcome_told(benchmark::State& state)
{
    auto& vm = alone();
    run(state, vm,
        []
        {
            requests::service_outcome_received event;
            event.result = requests::service_outcome::completed;
            return event;
        });
}

void store_answer(benchmark::State& state)
{
    auto& vm = alone();
    run(
        state, vm,
        [&]
        {
            while (vm.store_calls.empty())
            {
                vm.post(vm.next_booking());
                vm.advance(milliseconds(20));
            }
            auto answer = vm.store_calls.front();
            vm.store_calls.erase(vm.store_calls.begin());
            return answer;
        },
        [&] { finish_requests(vm); });
}

void runner_reported(benchmark::State& state)
{
    auto& vm = in_fleet();
    std::uint64_t sequence = 0;
    run(state, vm,
        [&]
        {
            requests::runner_reported event;
            event.runner = runner_id::of("models-3-5");
            event.reachable = true;
            event.sequence = ++sequence;
            event.running = static_cast<double>(sequence % 50);
            event.slots = 64.;
            event.models = {"large", "small"};
            event.adapters = {"one", "two", "three"};
            return event;
        });
}

void runner_cache_changed(benchmark::State& state)
{
    auto& vm = in_fleet();
    std::uint64_t sequence = 0;
    run(state, vm,
        [&]
        {
            requests::runner_cache_changed event;
            event.runner = runner_id::of("models-3-5");
            event.sequence = ++sequence;
            for (std::uint64_t n = 0; n < 16; ++n)
                event.blocks.push_back(sequence * 16 + n);
            return event;
        });
}

void vm_list_same(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(state, vm, [&] { return vm.vm_list(); });
}

void vm_list_runner_leaves(benchmark::State& state)
{
    auto& vm = in_fleet();
    bool leaves = false;
    run(state, vm, [&] { return vm.vm_list(leaves = !leaves); });
    vm.post(vm.vm_list());
}

void vm_list_entry_gone(benchmark::State& state)
{
    auto& vm = in_fleet();
    run(
        state, vm,
        [&]
        {
            auto list = vm.vm_list();
            list.vms[200].leaving = true;
            return list;
        },
        [&]
        {
            vm.post(vm.vm_list());
            vm.advance(milliseconds(10));
        });
}

void peer_link_connected(benchmark::State& state)
{
    auto& vm = in_fleet();
    auto const peer = vm.peers().front();
    run(
        state, vm,
        [&] {
            return peer_link_changed{peer, fleet::link_event::connected, 2};
        },
        [&] { vm.advance(milliseconds(10)); });
}

template <class Payload>
void peer_sends(benchmark::State& state, Payload payload)
{
    auto& vm = in_fleet();
    auto const peer = vm.peers().front();
    std::uint64_t sequence = 0;
    run(state, vm,
        [&] {
            return peer_received{peer, payload(vm, ++sequence)};
        });
}

void peer_summary(benchmark::State& state)
{
    peer_sends(state,
               [](target_vm& vm, std::uint64_t sequence)
               {
                   fleet::summary_message message;
                   message.sequence = sequence;
                   message.load.vms = 40;
                   for (auto const& it : vm.settings().pools)
                   {
                       fleet::pool_load pool;
                       pool.pool = pool_id::of(it.first);
                       pool.demand = {1., 2., 3.};
                       message.load.pools.push_back(pool);
                   }
                   for (std::size_t n = 0; n < 16; ++n)
                       message.load.organisations.push_back(
                           {organisation_id{n * 977 + 1}, 10., 4.});
                   return message;
               });
}

void peer_pinged(benchmark::State& state)
{
    peer_sends(state,
               [](target_vm&, std::uint64_t sequence) {
                   return peer_ping{vm_id::of("vm-0"), sequence};
               });
}

void peer_acked(benchmark::State& state)
{
    peer_sends(state,
               [](target_vm& vm, std::uint64_t sequence) {
                   return peer_ack{vm.peers().front(), sequence};
               });
}

void peer_mark(benchmark::State& state)
{
    peer_sends(state,
               [](target_vm&, std::uint64_t sequence)
               {
                   isolation::isolation_mark mark;
                   mark.content = {sequence, 1};
                   mark.remaining = std::chrono::minutes(1);
                   return mark;
               });
}

void peer_shard_update(benchmark::State& state)
{
    auto& vm = alone();
    run(
        state, vm,
        [&]
        {
            // The updates of a VM of a fleet of 330 for another committer.
            auto& sender = in_fleet();
            for (int n = 0; n < 100 && sender.forwarded.empty(); ++n)
            {
                sender.post(sender.next_booking());
                sender.advance(milliseconds(20));
            }
            if (sender.forwarded.empty())
                return peer_received{};
            auto const update = sender.forwarded.back();
            sender.forwarded.pop_back();
            return peer_received{vm_id::of("vm-9"), update};
        },
        [&] { finish_requests(vm); });
}

#define REDUCER_STEP(name)                                                     \
    BENCHMARK(name)->UseManualTime()->Iterations(steps)->Unit(                 \
        benchmark::kMicrosecond)
#define SLOW_REDUCER_STEP(name)                                                \
    BENCHMARK(name)                                                            \
        ->UseManualTime()                                                      \
        ->Iterations(slow_steps)                                               \
        ->Unit(benchmark::kMicrosecond)

REDUCER_STEP(ticked_idle);
SLOW_REDUCER_STEP(ticked_busy);
REDUCER_STEP(request_received);
REDUCER_STEP(caller_gone);
REDUCER_STEP(attempt_ended_stage);
REDUCER_STEP(attempt_ended_last);
REDUCER_STEP(attempt_token);
REDUCER_STEP(runner_reported);
REDUCER_STEP(runner_cache_changed);
SLOW_REDUCER_STEP(vm_list_same);
SLOW_REDUCER_STEP(vm_list_runner_leaves);
SLOW_REDUCER_STEP(vm_list_entry_gone);
REDUCER_STEP(peer_link_connected);
REDUCER_STEP(peer_summary);
REDUCER_STEP(peer_pinged);
REDUCER_STEP(peer_acked);
REDUCER_STEP(peer_mark);
REDUCER_STEP(booking_received);
REDUCER_STEP(store_answer);
REDUCER_STEP(outcome_asked);
REDUCER_STEP(service_outcome_told);
REDUCER_STEP(peer_shard_update);

} // namespace
