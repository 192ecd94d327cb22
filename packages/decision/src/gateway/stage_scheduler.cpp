#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/stage_scheduler.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <limits>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Part of a runner's room that is planned with: sizes of results vary.
constexpr double usable_room = 0.94;

//! A piece that has waited longer than this, has missed its time and has cost
//! nothing yet is given up.
constexpr duration tolerated_wait = 300ms;

//! So is one that was late from the start, when it has waited for this share
//! of its time: its caller can use what is left elsewhere.
constexpr double tolerated_share = 0.4;

//! A runner this many times slower than the fastest one gets no call while the
//! others can take all that waits.
constexpr double left_out_slowness = 2.2;

//! Least time between two looks at all pieces and calls.
constexpr duration check_interval = 10ms;

//! A piece waits this long for a runner of its failure domain.
constexpr duration domain_wait = 150ms;

//! A piece counts as late this long after it was due: the estimates of what
//! follows its turn are rough.
constexpr duration late_tolerance = 100ms;

//! Weight of the newest call in the average of its pieces.
constexpr double new_batch_weight = 0.2;

bool before(owned_piece const& a, owned_piece const& b)
{
    if (a.turn != b.turn)
        return a.turn < b.turn;
    return a.work.request < b.work.request;
}

//! Only what has cost nothing yet yields: the results that earlier stages have
//! made take room and do not last.
time_point turn_of(owned_piece const& it, time_point now)
{
    bool const yields = it.work.inputs.empty() && it.due + late_tolerance < now;
    return yields ? std::max(it.due, it.last) : it.due;
}

//! Identity of a piece over all VMs.
std::uint64_t key_of(std::string const& member, piece const& work)
{
    std::array<std::uint64_t, 5> const parts = {
        stable_hash(member), work.request, work.round, work.stage, work.number};
    return stable_hash({reinterpret_cast<char const*>(parts.data()),
                        parts.size() * sizeof(parts[0])});
}

} // namespace

void stage_scheduler::configure(piece_limits const& limits)
{
    limits_ = limits;
    usual_batch_ = limits.batch;
}

void stage_scheduler::submit(std::string const& member,
                             std::vector<piece> pieces, time_point now)
{
    for (auto& work : pieces)
    {
        owned_piece entry;
        entry.key = key_of(member, work);
        if (!active_.insert(entry.key).second)
            continue;
        entry.member = member;
        entry.queued = now;
        entry.due = now + work.due_in;
        entry.last = now + work.last_in;
        entry.deadline = now + work.time_left;
        entry.work = std::move(work);
        queue_.push_back(std::move(entry));
    }
}

template <class Predicate>
std::vector<owned_piece> stage_scheduler::take_waiting(Predicate const& wanted)
{
    auto const kept = std::stable_partition(queue_.begin(), queue_.end(),
                                            [&](owned_piece const& it)
                                            { return !wanted(it); });
    std::vector<owned_piece> out(std::make_move_iterator(kept),
                                 std::make_move_iterator(queue_.end()));
    queue_.erase(kept, queue_.end());
    return out;
}

template <class Predicate>
void stage_scheduler::forget_waiting(Predicate const& dropped)
{
    for (auto const& it : take_waiting(dropped))
        active_.erase(it.key);
}

void stage_scheduler::withdraw(std::string const& member,
                               std::vector<request_ref> const& requests)
{
    absl::flat_hash_set<request_ref> const left(requests.begin(),
                                                requests.end());
    forget_waiting(
        [&](owned_piece const& it)
        { return it.member == member && left.contains(it.work.request); });
}

void stage_scheduler::withdraw_all(std::string const& member)
{
    forget_waiting([&](owned_piece const& it) { return it.member == member; });
}

void stage_scheduler::release(std::vector<std::string> const& handles)
{
    for (auto const& handle : handles)
    {
        auto& out = released_[std::string(address_of(handle))];
        out.handles.push_back(handle);
        auto const found = held_.find(handle);
        if (found == held_.end())
            continue;
        out.runner_id = found->second.runner_id;
        out.bytes += found->second.bytes;
        held_.erase(found);
    }
}

void stage_scheduler::results_freed(call_ref call)
{
    auto const found = freeing_.find(call);
    if (found == freeing_.end())
        return;
    auto const placed = loads_.find(found->second.runner_id);
    if (placed != loads_.end())
        placed->second.held_bytes -= found->second.bytes;
    freeing_.erase(found);
}

void stage_scheduler::finish(owned_piece& it, piece_outcome outcome,
                             std::string handle)
{
    if (outcome != piece_outcome::inputs_read)
        active_.erase(it.key);
    piece_result result;
    result.service = service_;
    result.request = it.work.request;
    result.round = it.work.round;
    result.stage = it.work.stage;
    result.number = it.work.number;
    result.outcome = outcome;
    result.handle = std::move(handle);
    results_.push_back({it.member, std::move(result)});
}

void stage_scheduler::requeue(owned_piece it, bool counts, time_point now)
{
    if (counts && ++it.attempts >= max_attempts)
        finish(it, piece_outcome::failed, {});
    else if (it.deadline <= now)
        finish(it, piece_outcome::late, {});
    else
        queue_.push_back(std::move(it));
}

void stage_scheduler::drop_copies(std::vector<owned_piece> const& pieces)
{
    absl::flat_hash_set<std::uint64_t> made;
    for (auto const& it : pieces)
        made.insert(it.key);
    take_waiting([&](owned_piece const& it) { return made.contains(it.key); });
}

void stage_scheduler::drop_late(time_point now)
{
    auto const too_late = [&](owned_piece const& it)
    {
        bool const untouched = it.work.inputs.empty() && it.attempts == 0;
        auto const waited = now - it.queued;
        auto const tolerated =
            from_seconds(tolerated_share * to_seconds(it.deadline - it.queued));
        return now + nominal_time(1) > it.deadline ||
               (untouched && it.due < now && waited > tolerated_wait) ||
               (untouched && waited > tolerated);
    };
    for (auto& it : take_waiting(too_late))
        finish(it, piece_outcome::late, {});
}

std::vector<owned_piece> stage_scheduler::take_batch(runner_state const& runner,
                                                     time_point now)
{
    auto const& domain = runner.entry.failure_domain;
    auto& placed = loads_[runner.entry.id];
    if (placed.foreign_until <= now)
        placed.foreign_bytes = 0;
    double room = limits_.result_bytes * usable_room - placed.held_bytes -
                  placed.foreign_bytes;
    bool const empty = placed.held_bytes <= 0;
    auto const own = [&](owned_piece const& it)
    {
        return it.work.domain.empty() || it.work.domain == domain ||
               domains_.count(it.work.domain) == 0;
    };
    auto const waited = [&](owned_piece const& it)
    { return now - it.queued >= domain_wait || it.due - now < domain_wait; };
    std::vector<owned_piece> out;
    // A piece that does not fit must not keep smaller ones behind it.
    auto const take = [&](auto const& wanted)
    {
        std::deque<owned_piece> left;
        for (auto& it : queue_)
        {
            bool const fits = limits_.result_bytes <= 0 ||
                              (empty && out.empty()) ||
                              it.work.result_bytes <= room;
            if (out.size() == limits_.batch || !fits || !wanted(it))
            {
                left.push_back(std::move(it));
                continue;
            }
            room -= it.work.result_bytes;
            out.push_back(std::move(it));
        }
        queue_ = std::move(left);
    };
    take(own);
    if (out.size() < limits_.batch)
        take(waited);
    return out;
}

void stage_scheduler::leave_out_slow(std::vector<runner_state*> const& usable,
                                     std::vector<runner_state*>& free,
                                     time_point now) const
{
    double fastest = std::numeric_limits<double>::max();
    for (auto const* it : usable)
        fastest = std::min(fastest, slowness_of(it->entry.id, now));
    auto const slow = [&](runner_state const* it)
    { return slowness_of(it->entry.id, now) > fastest * left_out_slowness; };
    auto const slow_count = std::count_if(usable.begin(), usable.end(), slow);
    auto const fast_count = usable.size() - std::size_t(slow_count);
    if (queue_.size() <= fast_count * limits_.batch)
        free.erase(std::remove_if(free.begin(), free.end(), slow), free.end());
}

std::vector<runner_state*>
stage_scheduler::free_runners(runner_directory& runners, time_point now)
{
    std::vector<runner_state*> usable;
    runners.usable(service_, now, usable);
    std::vector<runner_state*> out;
    domains_.clear();
    for (auto* it : usable)
    {
        auto& placed = loads_[it->entry.id];
        if (placed.started_at_ms != it->entry.started_at_ms)
        {
            auto const calls = placed.calls;
            placed = {};
            placed.calls = calls;
            placed.started_at_ms = it->entry.started_at_ms;
        }
        if (it->avoid_until > now)
            continue;
        domains_.insert(it->entry.failure_domain);
        if (placed.calls < limits_.slots)
            out.push_back(it);
    }
    std::sort(out.begin(), out.end(),
              [&](runner_state const* a, runner_state const* b) {
                  return slowness_of(a->entry.id, now) <
                         slowness_of(b->entry.id, now);
              });
    leave_out_slow(usable, out, now);
    return out;
}

void stage_scheduler::expire_results(time_point now)
{
    for (auto it = held_.begin(); it != held_.end();)
    {
        if (it->second.expires > now)
        {
            ++it;
            continue;
        }
        loads_[it->second.runner_id].held_bytes -= it->second.bytes;
        it = held_.erase(it);
    }
}

void stage_scheduler::flush_released(call_ref& next_call, effects& out)
{
    for (auto& it : released_)
    {
        free_results freed;
        freed.call = next_call++;
        freed.address = it.first;
        freed.runner_id = it.second.runner_id;
        freed.handles = it.second.handles;
        freeing_.emplace(freed.call, std::move(it.second));
        out.push_back(std::move(freed));
    }
    released_.clear();
}

void stage_scheduler::dispatch(runner_directory& runners, call_ref& next_call,
                               time_point now, effects& out)
{
    flush_released(next_call, out);
    if (now - checked_ >= check_interval)
        check_times(now);
    if (queue_.empty())
        return;
    // Most events come while all runners work; the queue is put in order only
    // when one can take a batch.
    auto const free = free_runners(runners, now);
    if (free.empty())
        return;
    order_queue(now);
    for (auto* runner : free)
    {
        auto pieces = take_batch(*runner, now);
        if (pieces.empty())
            continue;
        if (!queue_.empty())
            usual_batch_ +=
                new_batch_weight * (double(pieces.size()) - usual_batch_);
        start_call(*runner, std::move(pieces), next_call++, now, out);
    }
}

void stage_scheduler::order_queue(time_point now)
{
    for (auto& it : queue_)
        it.turn = turn_of(it, now);
    std::sort(queue_.begin(), queue_.end(), before);
}

void stage_scheduler::check_times(time_point now)
{
    checked_ = now;
    expire_results(now);
    announce_inputs_read(now);
    repeat_slow_calls(now);
    drop_late(now);
}

double stage_scheduler::room_share() const
{
    double held = 0;
    for (auto const& it : loads_)
        held += it.second.held_bytes;
    double const room = limits_.result_bytes * double(loads_.size());
    return room > 0 ? held / room : 0;
}

std::vector<addressed_result> stage_scheduler::take_results()
{
    return std::exchange(results_, {});
}

double stage_scheduler::places(absl::Span<runner_state* const> usable,
                               time_point now) const
{
    constexpr double least_slowness = 0.1;
    double out = 0;
    for (auto const* it : usable)
        out += limits_.slots /
               std::max(slowness_of(it->entry.id, now), least_slowness);
    return out;
}

wait_profile stage_scheduler::expected_waits(runner_directory& runners,
                                             time_point now) const
{
    wait_profile out;
    std::vector<runner_state*> usable;
    runners.usable(service_, now, usable);
    bool const free_place = calls_.size() < usable.size() * limits_.slots;
    if (free_place && queue_.empty())
        return out;
    std::array<std::size_t, wait_profile::size> ahead{};
    for (auto const& it : queue_)
    {
        auto const due_in = turn_of(it, now) - now;
        for (std::size_t n = 0; n < ahead.size(); ++n)
            if (n + 1 == ahead.size() || due_in <= wait_profile::due_times[n])
                ++ahead[n];
    }
    constexpr double least_places = 0.1;
    double const rate = std::max(places(usable, now), least_places);
    double const batch = std::max(usual_batch_, 1.0);
    auto const full_call = nominal_time(std::size_t(batch));
    for (std::size_t n = 0; n < ahead.size(); ++n)
    {
        double const turns =
            double(ahead[n]) / batch + (free_place ? 0.0 : 1.0);
        bool const full = double(ahead[n]) >= batch;
        auto const call = full ? std::max(usual_call_, full_call)
                               : std::max(usual_call_, limits_.call_time);
        out.waits[n] = from_seconds(turns * to_seconds(call) / rate);
    }
    return out;
}

} // namespace buckthornvale::decision::gateway
