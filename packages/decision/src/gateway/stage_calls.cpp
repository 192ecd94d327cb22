#include <buckthornvale/decision/gateway/stage_scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! A call times out after this multiple of its nominal time plus a slack.
constexpr int timeout_factor = 8;
constexpr duration timeout_slack = 500ms;

//! The pieces of a call that takes longer than this multiple of its expected
//! time, plus a slack, are sent to another runner as well. The first result is
//! used.
constexpr double hedge_factor = 1.6;
constexpr duration hedge_slack = 200ms;

//! Half-life of the measured slowness of a runner without calls.
constexpr double slowness_half_life_s = 3;

//! Weight of the newest call in the moving average of a runner's slowness.
constexpr double slowness_ewma_weight = 0.3;

//! Time after which a call has read its inputs. They can be freed then, because
//! memory for results limits the batch size under load.
constexpr duration input_fetch_time = 100ms;

} // namespace

duration stage_scheduler::nominal_time(std::size_t pieces) const
{
    return limits_.call_time + limits_.piece_time * std::int64_t(pieces);
}

double stage_scheduler::slowness_of(std::string const& runner_id,
                                    time_point now) const
{
    auto const usage = usage_.find(runner_id);
    if (usage == usage_.end())
        return 1;
    // Without new measurements, a slow runner is assumed to recover.
    double const age = to_seconds(now - usage->second.measured_at);
    return 1 + (usage->second.slowness - 1) *
                   std::exp2(-age / slowness_half_life_s);
}

void stage_scheduler::start_call(runner_state& runner,
                                 std::vector<queued_piece> pieces,
                                 call_ref call, time_point now, effects& out)
{
    count_send(runner, now);
    auto& usage = usage_[runner.entry.id];
    ++usage.calls;
    call_stage started;
    started.call = call;
    started.runner_id = runner.entry.id;
    started.address = runner.entry.address;
    started.timeout =
        nominal_time(pieces.size()) * timeout_factor + timeout_slack;
    for (auto const& it : pieces)
    {
        usage.held_bytes += it.work.result_bytes;
        started.pieces.push_back(it.work);
        started.pieces.back().time_left = it.deadline - now;
    }
    calls_.emplace(call, call_state{runner.entry.id, runner.entry.address, now,
                                    std::move(pieces)});
    out.push_back(std::move(started));
}

void stage_scheduler::record_runner_signal(call_state const& call,
                                           stage_call_ended const& ended,
                                           bool answered,
                                           runner_directory& runners,
                                           time_point now)
{
    auto* runner = runners.find(call.runner_id);
    if (runner == nullptr)
        return;
    auto const elapsed = now - call.started;
    if (answered)
        runners.record(*runner, runner_signal::served, elapsed, now);
    else if (ended.misdirected)
        runners.record(*runner, runner_signal::replaced, elapsed, now);
    else
    {
        if (ended.outcome == call_outcome::no_answer)
            runners.record(*runner, runner_signal::silent, elapsed, now);
        runners.record(*runner, runner_signal::unreachable, elapsed, now);
    }
}

void stage_scheduler::record_call_time(call_state const& call, time_point now)
{
    auto const elapsed = now - call.started;
    average_call_time_ = average_call_time_ == duration()
                             ? elapsed
                             : (average_call_time_ * 7 + elapsed) / 8;
    double const nominal_s = to_seconds(nominal_time(call.pieces.size()));
    double const previous = slowness_of(call.runner_id, now);
    auto& usage = usage_[call.runner_id];
    usage.slowness =
        previous +
        slowness_ewma_weight * (to_seconds(elapsed) / nominal_s - previous);
    usage.measured_at = now;
}

void stage_scheduler::requeue_call_pieces(call_state& call, bool count_attempt,
                                          time_point now)
{
    for (auto& it : call.pieces)
    {
        usage_[call.runner_id].held_bytes -= it.work.result_bytes;
        // The pieces of a hedged call are already queued again.
        if (!call.hedged)
            requeue(std::move(it), count_attempt, now);
    }
}

void stage_scheduler::handle_piece_outcome(queued_piece& it,
                                           piece_call_result const& result,
                                           std::string const& runner_id,
                                           time_point now)
{
    if (!result.handle.empty())
    {
        held_[result.handle] = {runner_id, it.work.result_bytes,
                                now + limits_.result_lifetime};
        finish_piece(it, piece_outcome::done, result.handle);
        return;
    }
    auto& usage = usage_[runner_id];
    usage.held_bytes -= it.work.result_bytes;
    if (result.outcome != piece_outcome::failed)
    {
        finish_piece(it, result.outcome, {});
        return;
    }
    if (result.no_room)
    {
        usage.external_bytes += it.work.result_bytes;
        usage.external_until = now + limits_.result_lifetime;
    }
    requeue(std::move(it), !result.no_room, now);
}

answer_origin stage_scheduler::call_ended(stage_call_ended const& ended,
                                          runner_directory& runners,
                                          time_point now)
{
    auto const found = calls_.find(ended.call);
    if (found == calls_.end())
        return answer_origin::unknown;
    call_state call = std::move(found->second);
    calls_.erase(found);
    auto& usage = usage_[call.runner_id];
    usage.calls -= usage.calls > 0 ? 1 : 0;
    bool const answered = ended.outcome == call_outcome::answered &&
                          ended.pieces.size() == call.pieces.size() &&
                          !ended.repeated;
    record_runner_signal(call, ended, answered, runners, now);
    if (!answered)
    {
        requeue_call_pieces(
            call, ended.repeated || ended.outcome == call_outcome::no_answer,
            now);
        return ended.repeated ? answer_origin::repeated
                              : answer_origin::unknown;
    }
    record_call_time(call, now);
    if (call.hedged)
        drop_hedge_copies(call.pieces);
    for (std::size_t i = 0; i < call.pieces.size(); ++i)
        handle_piece_outcome(call.pieces[i], ended.pieces[i], call.runner_id,
                             now);
    bool const has_handle = std::any_of(
        ended.pieces.begin(), ended.pieces.end(),
        [](piece_call_result const& it) { return !it.handle.empty(); });
    return has_handle ? answer_origin::own : answer_origin::unknown;
}

void stage_scheduler::hedge_slow_calls(time_point input_until)
{
    for (auto& entry : calls_)
    {
        auto& call = entry.second;
        double const expected_s =
            to_seconds(nominal_time(call.pieces.size())) *
            std::max(1.0, slowness_of(call.runner_id, call.started));
        if (call.hedged ||
            input_until - call.started <
                from_seconds(expected_s * hedge_factor) + hedge_slack)
            continue;
        call.hedged = true;
        for (auto const& it : call.pieces)
        {
            auto copy = it;
            ++copy.attempts;
            queue_.push(std::move(copy));
        }
    }
}

void stage_scheduler::report_inputs_read(time_point now)
{
    for (auto& entry : calls_)
    {
        auto& call = entry.second;
        if (call.inputs_read || now - call.started < input_fetch_time)
            continue;
        call.inputs_read = true;
        for (auto& it : call.pieces)
            if (!it.work.inputs.empty())
                finish_piece(it, piece_outcome::inputs_read, {});
    }
}

} // namespace buckthornvale::decision::gateway
