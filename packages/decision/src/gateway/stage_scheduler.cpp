#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/gateway/stage_scheduler.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Share of a runner's result memory that is planned for use. The rest is a
//! reserve, since result sizes vary.
constexpr double usable_result_memory_share = 0.94;

//! Results of a runner that limits its requests are freed only above this share
//! of its memory, since a call that frees takes the place of one that computes.
constexpr double scarce_memory_share = 0.5;

//! A piece that has not been started is dropped if it has waited longer than
//! this and has missed its due time.
constexpr duration max_queue_wait = 300ms;

//! A piece with inputs is dropped this long after its latest start, which is a
//! rough estimate.
constexpr duration latest_start_tolerance = 100ms;

//! A piece that has not been started is also dropped after this share of its
//! total time, so that its caller can use the remaining time elsewhere.
constexpr double max_wait_share = 0.4;

//! A runner that is slower than the fastest one by more than this factor gets
//! no calls while the others can take all queued pieces.
constexpr double max_relative_slowness = 2.2;

//! Minimum interval between checks of all pieces and calls.
constexpr duration check_interval = 10ms;

//! Longest time that a piece waits for a runner in its own failure domain.
constexpr duration max_domain_wait = 150ms;

//! Share of the time until a piece is due that it spends on this wait. Requests
//! wait at each of their stages, so a larger share makes those with a short
//! target late.
constexpr double domain_wait_share = 0.1;

//! Weight of the newest call in the moving average of the possible batch size.
constexpr double batch_size_ewma_weight = 0.2;

duration domain_wait(queued_piece const& it)
{
    return std::min(
        max_domain_wait,
        from_seconds(domain_wait_share * to_seconds(it.due - it.queued_at)));
}

int rank_of(queued_piece const& it)
{
    return it.sort_priority.route_rank;
}

//! A piece that is late keeps no place: it would delay those that are not.
bool has_share(queued_piece const& it)
{
    return !it.sort_priority.deferred;
}

template <class Range>
rank_counts count_ranks(Range const& pieces)
{
    rank_counts out;
    for (queued_piece const& it : pieces)
        if (has_share(it))
            ++out[rank_of(it)];
    return out;
}

//! Key that identifies a piece across all VMs.
std::uint64_t key_of(std::string const& member, request_ref request,
                     std::uint32_t round, std::uint32_t stage,
                     std::uint32_t number)
{
    std::array<std::uint64_t, 5> const parts = {stable_hash(member), request,
                                                round, stage, number};
    return stable_hash({reinterpret_cast<char const*>(parts.data()),
                        parts.size() * sizeof(parts[0])});
}

} // namespace

void stage_scheduler::configure(piece_limits const& limits)
{
    limits_ = limits;
    average_batch_size_ = limits.batch;
}

void stage_scheduler::submit(std::string const& member,
                             std::vector<piece> pieces, time_point now)
{
    for (auto& work : pieces)
    {
        queued_piece entry;
        entry.key =
            key_of(member, work.request, work.round, work.stage, work.number);
        if (work.number == 0)
            announced_.erase(entry.key);
        if (!known_keys_.insert(entry.key).second)
            continue;
        entry.member = member;
        entry.queued_at = now;
        entry.due = now + work.due_in;
        entry.latest_start = now + work.latest_start_in;
        entry.deadline = now + work.time_left;
        // Pieces with inputs were counted when their stage was announced.
        if (work.inputs.empty())
            arrivals_[work.priority].count(1, now);
        entry.work = std::move(work);
        queue_.push(std::move(entry));
    }
}

void stage_scheduler::announce(std::string const& member,
                               announced_stage const& stage, time_point now)
{
    constexpr std::uint32_t first_round = 0;
    constexpr std::uint32_t first_piece = 0;
    auto const key =
        key_of(member, stage.request, first_round, stage.stage, first_piece);
    announced_.add(key, {member, stage.request, stage.pieces, stage.priority,
                         now + stage.due_in});
    arrivals_[stage.priority].count(stage.pieces, now);
}

template <class Predicate>
void stage_scheduler::discard_queued(Predicate const& dropped)
{
    for (auto const& it : queue_.extract(dropped))
        known_keys_.erase(it.key);
}

void stage_scheduler::withdraw(std::string const& member,
                               std::vector<request_ref> const& requests)
{
    absl::flat_hash_set<request_ref> const withdrawn(requests.begin(),
                                                     requests.end());
    discard_queued(
        [&](queued_piece const& it)
        { return it.member == member && withdrawn.contains(it.work.request); });
    announced_.withdraw(member, withdrawn);
}

void stage_scheduler::withdraw_all(std::string const& member)
{
    discard_queued([&](queued_piece const& it) { return it.member == member; });
    announced_.withdraw_all(member);
}

void stage_scheduler::withdraw_all_but(std::string const& member)
{
    discard_queued([&](queued_piece const& it) { return it.member != member; });
    announced_.withdraw_all_but(member);
}

void stage_scheduler::release(std::vector<std::string> const& handles)
{
    for (auto const& handle : handles)
    {
        auto& out = released_[std::string(address_of(handle))];
        out.handles.push_back(handle);
        out.lapse_at.reset();
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
    return_memory(found->second);
    freeing_.erase(found);
}

void stage_scheduler::return_memory(released_results const& of)
{
    auto const usage = usage_.find(of.runner_id);
    if (usage != usage_.end())
        usage->second.held_bytes -= of.bytes;
}

void stage_scheduler::finish_piece(queued_piece& it, piece_outcome outcome,
                                   std::string handle)
{
    if (outcome != piece_outcome::inputs_read)
        known_keys_.erase(it.key);
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

void stage_scheduler::requeue(queued_piece it, bool count_attempt,
                              time_point now)
{
    if (count_attempt && ++it.attempts >= max_attempts)
        finish_piece(it, piece_outcome::failed, {});
    else if (it.deadline <= now)
        finish_piece(it, piece_outcome::late, {});
    else
        queue_.push(std::move(it));
}

void stage_scheduler::drop_hedge_copies(std::vector<queued_piece> const& pieces)
{
    absl::flat_hash_set<std::uint64_t> finished;
    for (auto const& it : pieces)
        finished.insert(it.key);
    queue_.extract([&](queued_piece const& it)
                   { return finished.contains(it.key); });
}

void stage_scheduler::drop_late_pieces(time_point now)
{
    auto const too_late = [&](queued_piece const& it)
    {
        bool const not_started = it.work.inputs.empty() && it.attempts == 0;
        auto const waited = now - it.queued_at;
        auto const max_wait = from_seconds(
            max_wait_share * to_seconds(it.deadline - it.queued_at));
        bool const cannot_finish =
            !it.work.inputs.empty() && it.attempts == 0 &&
            it.latest_start + latest_start_tolerance < now;
        return now + nominal_time(1) > it.deadline || cannot_finish ||
               (not_started && it.due < now && waited > max_queue_wait) ||
               (not_started && waited > max_wait);
    };
    for (auto& it : queue_.extract(too_late))
        finish_piece(it, piece_outcome::late, {});
}

std::vector<queued_piece>
stage_scheduler::take_batch(runner_state const& runner, time_point now)
{
    auto const& domain = runner.entry.failure_domain;
    auto& usage = usage_[runner.entry.id];
    if (usage.external_until <= now)
        usage.external_bytes = 0;
    double room = limits_.result_memory_bytes * usable_result_memory_share -
                  usage.held_bytes - usage.external_bytes;
    bool const empty = usage.held_bytes <= 0;
    auto const in_domain = [&](queued_piece const& it)
    {
        return it.work.domain.empty() || it.work.domain == domain ||
               usable_domains_.count(it.work.domain) == 0;
    };
    auto const waited = [&](queued_piece const& it)
    { return now - it.queued_at >= domain_wait(it); };
    auto const takeable_now = [&](queued_piece const& it)
    { return in_domain(it) || waited(it); };
    std::vector<queued_piece> out;
    bool out_of_room = false;
    // A piece that does not fit must not block smaller ones behind it.
    auto const reserve_room = [&](queued_piece const& it)
    {
        bool const fits = limits_.result_memory_bytes <= 0 ||
                          (empty && out.empty()) ||
                          it.work.result_bytes <= room;
        if (fits)
            room -= it.work.result_bytes;
        out_of_room = out_of_room || !fits;
        return fits;
    };
    for (auto const& share : shares_.places())
        queue_.take(
            std::min(share.second, limits_.batch - out.size()),
            [&](queued_piece const& it)
            {
                return has_share(it) && rank_of(it) == share.first &&
                       takeable_now(it) && reserve_room(it);
            },
            out);
    queue_.take(
        limits_.batch - out.size(),
        [&](queued_piece const& it)
        { return in_domain(it) && reserve_room(it); },
        out);
    queue_.take(
        limits_.batch - out.size(),
        [&](queued_piece const& it) { return waited(it) && reserve_room(it); },
        out);
    if (out.empty())
        return out;
    record_batch_size(out.size(), out_of_room);
    shares_.record_call(count_ranks(out), count_ranks(queue_));
    return out;
}

void stage_scheduler::record_batch_size(std::size_t pieces, bool out_of_room)
{
    // A call that takes all there is tells only that room is no limit.
    auto const possible = out_of_room ? pieces : limits_.batch;
    average_batch_size_ +=
        batch_size_ewma_weight * (double(possible) - average_batch_size_);
}

void stage_scheduler::exclude_slow_runners(
    std::vector<runner_state*> const& usable, std::vector<runner_state*>& free,
    time_point now) const
{
    double fastest = std::numeric_limits<double>::max();
    for (auto const* it : usable)
        fastest = std::min(fastest, slowness_of(it->entry.id, now));
    auto const slow = [&](runner_state const* it) {
        return slowness_of(it->entry.id, now) > fastest * max_relative_slowness;
    };
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
    usable_domains_.clear();
    for (auto* it : usable)
    {
        auto& usage = usage_[it->entry.id];
        if (usage.started_at_ms != it->entry.started_at_ms)
        {
            auto const calls = usage.calls;
            usage = {};
            usage.calls = calls;
            usage.started_at_ms = it->entry.started_at_ms;
        }
        if (it->backoff_until > now)
            continue;
        usable_domains_.insert(it->entry.failure_domain);
        if (usage.calls < limits_.slots)
            out.push_back(it);
    }
    std::sort(out.begin(), out.end(),
              [&](runner_state const* a, runner_state const* b) {
                  return slowness_of(a->entry.id, now) <
                         slowness_of(b->entry.id, now);
              });
    exclude_slow_runners(usable, out, now);
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
        usage_[it->second.runner_id].held_bytes -= it->second.bytes;
        it = held_.erase(it);
    }
}

bool stage_scheduler::may_free(runner_state const& runner, time_point now) const
{
    if (runner.notice.quiet_until > now || is_share_used(runner, now))
        return false;
    if (!runner.notice.rate_limit)
        return true;
    auto const usage = usage_.find(runner.entry.id);
    return usage != usage_.end() &&
           usage->second.held_bytes >
               scarce_memory_share * limits_.result_memory_bytes;
}

void stage_scheduler::expire_released(time_point now)
{
    for (auto it = released_.begin(); it != released_.end();)
    {
        auto const next = std::next(it);
        auto const& lapse_at = it->second.lapse_at;
        if (lapse_at && *lapse_at <= now)
        {
            return_memory(it->second);
            released_.erase(it);
        }
        it = next;
    }
}

void stage_scheduler::flush_released(runner_directory& runners,
                                     call_ref& next_call, time_point now,
                                     effects& out)
{
    for (auto it = released_.begin(); it != released_.end();)
    {
        auto* runner = runners.find_by_address(it->first);
        // Results in an evacuated domain lapse by themselves.
        bool const reachable =
            runners.is_reachable_domain(runners.failure_domain_of(it->first));
        if (!reachable || (runner != nullptr && !may_free(*runner, now)))
        {
            auto& lapse_at = it->second.lapse_at;
            lapse_at = lapse_at.value_or(now + limits_.result_lifetime);
            ++it;
            continue;
        }
        if (runner != nullptr)
            count_send(*runner, now);
        free_results freed;
        freed.call = next_call++;
        freed.address = it->first;
        freed.runner_id = it->second.runner_id;
        freed.handles = it->second.handles;
        freeing_.emplace(freed.call, std::move(it->second));
        out.push_back(std::move(freed));
        it = released_.erase(it);
    }
}

void stage_scheduler::dispatch(runner_directory& runners, call_ref& next_call,
                               time_point now, effects& out)
{
    expire_released(now);
    flush_released(runners, next_call, now, out);
    if (now - last_check_ >= check_interval)
        check_timeouts(now);
    if (queue_.empty())
        return;
    // Most events arrive while all runners are busy, so the queue is sorted
    // only if a runner can take a batch.
    auto const free = free_runners(runners, now);
    if (free.empty())
        return;
    queue_.sort(now);
    for (auto* runner : free)
    {
        auto pieces = take_batch(*runner, now);
        if (pieces.empty())
            continue;
        start_call(*runner, std::move(pieces), next_call++, now, out);
    }
}

void stage_scheduler::check_timeouts(time_point now)
{
    last_check_ = now;
    expire_results(now);
    report_inputs_read(now);
    drop_late_pieces(now);
    announced_.expire(now);
}

double stage_scheduler::result_memory_share() const
{
    double held = 0;
    for (auto const& it : usage_)
        held += it.second.held_bytes;
    double const room = limits_.result_memory_bytes * double(usage_.size());
    return room > 0 ? held / room : 0;
}

std::map<int, std::size_t> stage_scheduler::waiting_by_rank() const
{
    std::map<int, std::size_t> out;
    for (auto const& it : queue_)
        ++out[it.work.priority.route_rank];
    return out;
}

std::vector<addressed_result> stage_scheduler::take_results()
{
    return std::exchange(results_, {});
}

} // namespace buckthornvale::decision::gateway
