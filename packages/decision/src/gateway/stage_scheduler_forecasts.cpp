#include <buckthornvale/decision/gateway/stage_scheduler.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

double stage_scheduler::effective_slots(absl::Span<runner_state* const> usable,
                                        time_point now) const
{
    constexpr double min_slowness = 0.1;
    double out = 0;
    for (auto const* it : usable)
    {
        double slots = limits_.slots /
                       std::max(slowness_of(it->entry.id, now), min_slowness);
        if (auto const per_s = limit_per_s(*it, now))
            slots = std::min(slots,
                             *per_s * to_seconds(nominal_time(limits_.batch)));
        out += slots;
    }
    return out;
}

stage_capacity stage_scheduler::capacity(runner_directory& runners,
                                         time_point now) const
{
    constexpr double min_effective_slots = 0.1;
    std::vector<runner_state*> usable;
    runners.usable_with_limited(service_, now, usable);
    stage_capacity out;
    out.slots = std::max(effective_slots(usable, now), min_effective_slots);
    out.has_free_slot = calls_.size() < usable.size() * limits_.slots;
    out.batch = std::max(average_batch_size_, 1.0);
    out.short_call = std::max(average_call_time_, limits_.call_time);
    out.batch_call =
        std::max(average_call_time_, nominal_time(std::size_t(out.batch)));
    out.max_pieces_per_s =
        limits_.batch * out.slots / to_seconds(nominal_time(limits_.batch));
    return out;
}

queue_forecast stage_scheduler::expected_waits(runner_directory& runners,
                                               time_point now) const
{
    auto const available = capacity(runners, now);
    double more_urgent_per_s = 0;
    queue_forecast out;
    out.without_queue = available.wait_behind(0, more_urgent_per_s);
    std::size_t ahead = 0;
    std::size_t ahead_of_rank = 0;
    std::size_t more_urgent_ranks = 0;
    for (auto const& it : pieces_by_due_time(now))
    {
        bool const first_of_rank =
            !out.classes.empty() &&
            out.classes.back().priority.route_rank != it.first.route_rank;
        if (first_of_rank)
        {
            ahead_of_rank = ahead;
            more_urgent_ranks += ahead > 0 || more_urgent_per_s > 0 ? 1 : 0;
        }
        queue_forecast::class_waits entry;
        entry.priority = it.first;
        for (std::size_t n = 0; n < wait_profile::size; ++n)
        {
            auto const pieces = ahead + it.second[n];
            auto& wait = entry.waits.waits[n];
            wait = available.wait_behind(pieces, more_urgent_per_s);
            if (!it.first.deferred && more_urgent_ranks > 0)
                wait = std::min(wait, available.wait_in_share(
                                          pieces - ahead_of_rank,
                                          share_behind(more_urgent_ranks)));
        }
        ahead += it.second.back();
        // Pieces of this class that arrive later are served before those of
        // the classes behind it.
        auto const arrived = arrivals_.find(it.first);
        if (arrived != arrivals_.end())
            more_urgent_per_s += arrived->second.rate(now);
        entry.behind = available.wait_behind(ahead, more_urgent_per_s);
        out.classes.push_back(entry);
    }
    return out;
}

std::map<dispatch_priority, stage_scheduler::due_counts>
stage_scheduler::pieces_by_due_time(time_point now) const
{
    std::map<dispatch_priority, due_counts> out;
    auto const add =
        [&](dispatch_priority priority, duration due_in, std::size_t pieces)
    {
        auto& counts = out.try_emplace(priority, due_counts{}).first->second;
        for (std::size_t n = 0; n < counts.size(); ++n)
            if (n + 1 == counts.size() || due_in <= wait_profile::due_times[n])
                counts[n] += pieces;
    };
    for (auto const& it : queue_)
    {
        auto const priority = priority_of(it, now);
        add(priority, sort_time_of(it, priority.deferred) - now, 1);
    }
    for (auto const& it : arrivals_)
        add(it.first, duration::zero(), 0);
    for (auto const& it : announced_)
        add(it.second.priority, it.second.due - now, it.second.pieces);
    return out;
}

} // namespace buckthornvale::decision::gateway
