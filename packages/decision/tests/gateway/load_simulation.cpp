#include "load_simulation.hpp"

#include "uniform.hpp"

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 20ms;

//! Time from a send to the first event of a stream, and to its end.
constexpr duration first_event_time = 100ms;
constexpr duration stream_time = 400ms;

//! Difference in patience between callers, as a share of the time left.
constexpr double patience_spread = 0.15;

//! Share of callers that keep their connection for several requests.
constexpr double reused_share = 0.4;

//! Minimum time after which a refused caller returns.
constexpr duration min_return_time = 1s;

runner make_runner(std::string const& service, std::size_t number)
{
    runner out;
    out.id = service + "-" + std::to_string(number);
    out.service = service;
    out.address = out.id + ":80";
    out.failure_domain = number % 2 == 0 ? "north" : "south";
    constexpr std::uint32_t engine_slots = 32;
    out.slots = engine_slots;
    out.started_at_ms = 1;
    return out;
}

} // namespace

load_simulation::load_simulation(
    std::shared_ptr<manifest const> routes,
    std::map<std::string, std::size_t> const& runner_counts)
    : gateway_({"vm-0", "north", 2s, 0s, 3s, {0.2, 40, 10s}}),
      manifest_(std::move(routes))
{
    feed(manifest_changed{manifest_});
    runners_listed listed;
    for (auto const& it : runner_counts)
        for (std::size_t n = 0; n < it.second; ++n)
            listed.runners.push_back(make_runner(it.first, n));
    feed(listed);
}

void load_simulation::add_load(route_load const& load, duration length,
                               duration start_in)
{
    auto const* route = manifest_->find_route("h", load.path);
    auto const count = std::int64_t(to_seconds(length) * load.per_second);
    for (std::int64_t n = 0; n < count; ++n)
    {
        caller from;
        auto& traits = from.first_attempt.traits;
        traits.id = "id-" + std::to_string(random_());
        traits.host = "h";
        traits.path = load.path;
        traits.pieces = load.pieces;
        traits.time_left =
            from_seconds(to_seconds(route->timeout) *
                         (1 - patience_spread * uniform(random_)));
        traits.on_reused_connection = uniform(random_) < reused_share;
        from.arrived_at = now_ + start_in +
                          from_seconds(to_seconds(length) * uniform(random_));
        ++outcomes_[load.path].callers;
        arrive(from, from.arrived_at);
    }
}

void load_simulation::arrive(caller const& from, time_point at)
{
    auto arrival = from.first_attempt;
    arrival.request = next_request_++;
    if (from.returned)
    {
        arrival.traits.on_reused_connection = false;
        *arrival.traits.time_left -= at - from.arrived_at;
    }
    callers_[arrival.request] = from;
    events_.emplace(at, arrival);
}

void load_simulation::run()
{
    auto next_tick = now_;
    while (!callers_.empty() || !events_.empty())
    {
        auto const next = events_.begin();
        if (next == events_.end() || next->first > next_tick)
        {
            now_ = next_tick;
            next_tick += tick_interval;
            feed(timer_fired{now_});
            continue;
        }
        now_ = next->first;
        auto const input = std::move(next->second);
        events_.erase(next);
        if (auto const* started = std::get_if<stream_started>(&input))
            start_stream(*started);
        feed(input);
    }
}

void load_simulation::feed(event const& input)
{
    for (auto const& it : gateway_.reduce(input, now_))
        std::visit([&](auto const& in) { execute(in); }, it);
}

void load_simulation::execute(send_attempt const& in)
{
    events_.emplace(now_ + first_event_time,
                    stream_started{in.request, in.attempt, {}, {}});
    attempt_ended ended;
    ended.request = in.request;
    ended.attempt = in.attempt;
    ended.transport = transport_end::complete;
    constexpr int status_ok = 200;
    ended.status = status_ok;
    ended.identified = ended.sealed = true;
    ended.event_stream = ended.has_events = true;
    events_.emplace(now_ + stream_time, ended);
}

void load_simulation::start_stream(stream_started const& started)
{
    auto const found = callers_.find(started.request);
    if (found == callers_.end())
        return;
    auto const& path = found->second.first_attempt.traits.path;
    auto const* route = manifest_->find_route("h", path);
    auto& outcome = outcomes_[path];
    bool const on_time =
        now_ - found->second.arrived_at <= route->target_latency;
    ++(on_time ? outcome.on_time : outcome.late);
    callers_.erase(found);
}

void load_simulation::execute(refuse_request const& in)
{
    auto const found = callers_.find(in.request);
    if (found == callers_.end())
        return;
    auto from = std::move(found->second);
    callers_.erase(found);
    if (from.returned)
        return;
    from.returned = true;
    auto const wait = in.retry_after.value_or(duration::zero());
    auto const at = now_ + std::max(wait, min_return_time);
    if (at - from.arrived_at < *from.first_attempt.traits.time_left)
        arrive(from, at);
}

void load_simulation::execute(call_stage const& in)
{
    auto const& limits =
        *manifest_->find_service(in.pieces.front().service)->pieces;
    stage_call_ended ended;
    ended.call = in.call;
    ended.outcome = call_outcome::answered;
    for (std::size_t n = 0; n < in.pieces.size(); ++n)
        ended.pieces.push_back({piece_outcome::done, false,
                                in.address + "/" + std::to_string(in.call) +
                                    "-" + std::to_string(n)});
    events_.emplace(now_ + limits.call_time +
                        limits.piece_time * std::int64_t(in.pieces.size()),
                    ended);
}

void load_simulation::execute(free_results const& in)
{
    events_.emplace(now_ + 1ms, stage_results_freed{in.call});
}

} // namespace buckthornvale::decision::gateway
