#include <buckthornvale/decision/gateway/stage_scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! A call that takes this many times its nominal time is given up.
constexpr int timeout_factor = 8;
constexpr duration timeout_slack = 500ms;

//! The pieces of a call that takes this many times its usual time, and a slack,
//! are given to another runner too. The first result counts.
constexpr double slow_factor = 1.6;
constexpr duration slow_slack = 200ms;

//! A runner's measured slowness halves in this time without calls.
constexpr double slowness_half_life_s = 3;

//! Weight of the newest call in the estimate of a runner's slowness.
constexpr double new_weight = 0.3;

//! A call whose turn has come has read its inputs after this time. They are
//! given up then: room for results is what limits batches under load.
constexpr duration fetch_time = 100ms;

} // namespace

duration stage_scheduler::nominal_time(std::size_t pieces) const
{
    return limits_.call_time + limits_.piece_time * std::int64_t(pieces);
}

double stage_scheduler::slowness_of(std::string const& runner_id,
                                    time_point now) const
{
    auto const placed = loads_.find(runner_id);
    if (placed == loads_.end())
        return 1;
    // Without news, a slow runner is believed to have recovered.
    double const age = to_seconds(now - placed->second.measured);
    return 1 + (placed->second.slowness - 1) *
                   std::exp2(-age / slowness_half_life_s);
}

void stage_scheduler::start_call(runner_state& runner,
                                 std::vector<owned_piece> pieces, call_ref call,
                                 time_point now, effects& out)
{
    auto& placed = loads_[runner.entry.id];
    ++placed.calls;
    call_stage started;
    started.call = call;
    started.runner_id = runner.entry.id;
    started.address = runner.entry.address;
    started.timeout =
        nominal_time(pieces.size()) * timeout_factor + timeout_slack;
    for (auto const& it : pieces)
    {
        placed.held_bytes += it.work.result_bytes;
        started.pieces.push_back(it.work);
        started.pieces.back().time_left = it.deadline - now;
    }
    calls_.emplace(call, call_state{runner.entry.id, now, std::move(pieces)});
    out.push_back(std::move(started));
}

void stage_scheduler::judge_runner(call_state const& call,
                                   stage_call_ended const& ended, bool answered,
                                   runner_directory& runners, time_point now)
{
    auto* runner = runners.find(call.runner_id);
    if (runner == nullptr)
        return;
    auto const took = now - call.started;
    if (answered)
        runners.record(*runner, runner_signal::served, took, now);
    else if (ended.other_runner)
        runners.record(*runner, runner_signal::replaced, took, now);
    else
    {
        if (ended.outcome == call_outcome::no_answer)
            runners.record(*runner, runner_signal::silent, took, now);
        runners.record(*runner, runner_signal::unreachable, took, now);
    }
}

void stage_scheduler::measure(call_state const& call, time_point now)
{
    auto const took = now - call.started;
    usual_call_ =
        usual_call_ == duration() ? took : (usual_call_ * 7 + took) / 8;
    double const nominal_s = to_seconds(nominal_time(call.pieces.size()));
    double const known = slowness_of(call.runner_id, now);
    auto& placed = loads_[call.runner_id];
    placed.slowness =
        known + new_weight * (to_seconds(took) / nominal_s - known);
    placed.measured = now;
}

void stage_scheduler::end_unanswered(call_state& call, bool counts,
                                     time_point now)
{
    for (auto& it : call.pieces)
    {
        loads_[call.runner_id].held_bytes -= it.work.result_bytes;
        // The pieces of a repeated call are queued again already.
        if (!call.repeated)
            requeue(std::move(it), counts, now);
    }
}

void stage_scheduler::end_piece(owned_piece& it, made_piece const& made,
                                std::string const& runner_id, time_point now)
{
    if (!made.handle.empty())
    {
        held_[made.handle] = {runner_id, it.work.result_bytes,
                              now + limits_.result_lifetime};
        finish(it, piece_outcome::done, made.handle);
        return;
    }
    auto& placed = loads_[runner_id];
    placed.held_bytes -= it.work.result_bytes;
    if (made.outcome != piece_outcome::failed)
    {
        finish(it, made.outcome, {});
        return;
    }
    if (made.no_room)
    {
        placed.foreign_bytes += it.work.result_bytes;
        placed.foreign_until = now + limits_.result_lifetime;
    }
    requeue(std::move(it), !made.no_room, now);
}

void stage_scheduler::call_ended(stage_call_ended const& ended,
                                 runner_directory& runners, time_point now)
{
    auto const found = calls_.find(ended.call);
    if (found == calls_.end())
        return;
    call_state call = std::move(found->second);
    calls_.erase(found);
    auto& placed = loads_[call.runner_id];
    placed.calls -= placed.calls > 0 ? 1 : 0;
    bool const answered = ended.outcome == call_outcome::answered &&
                          ended.pieces.size() == call.pieces.size();
    judge_runner(call, ended, answered, runners, now);
    if (!answered)
    {
        end_unanswered(call, ended.outcome == call_outcome::no_answer, now);
        return;
    }
    measure(call, now);
    if (call.repeated)
        drop_copies(call.pieces);
    for (std::size_t i = 0; i < call.pieces.size(); ++i)
        end_piece(call.pieces[i], ended.pieces[i], call.runner_id, now);
}

void stage_scheduler::repeat_slow_calls(time_point now)
{
    for (auto& entry : calls_)
    {
        auto& call = entry.second;
        double const usual =
            to_seconds(nominal_time(call.pieces.size())) *
            std::max(1.0, slowness_of(call.runner_id, call.started));
        if (call.repeated ||
            now - call.started < from_seconds(usual * slow_factor) + slow_slack)
            continue;
        call.repeated = true;
        for (auto const& it : call.pieces)
        {
            queue_.push_back(it);
            ++queue_.back().attempts;
        }
    }
}

void stage_scheduler::announce_inputs_read(time_point now)
{
    for (auto& entry : calls_)
    {
        auto& call = entry.second;
        if (call.inputs_read || now - call.started < fetch_time)
            continue;
        call.inputs_read = true;
        for (auto& it : call.pieces)
            if (!it.work.inputs.empty())
                finish(it, piece_outcome::inputs_read, {});
    }
}

} // namespace buckthornvale::decision::gateway
