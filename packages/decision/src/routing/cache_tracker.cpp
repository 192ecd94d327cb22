#include <buckthornvale/decision/routing/cache_tracker.hpp>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

//! Each gap multiplies the trust by this factor, whatever its length: the
//! events do not say how many blocks the lost events named.
constexpr double gap_trust_factor = 0.5;
constexpr double min_trust = 0.05;
//! Share of the lost trust that one event without a gap restores.
constexpr double trust_recovery_step = 0.02;

} // namespace

bool cache_tracker::apply(cache_event const& event, runner_index runner,
                          prefix_index& index, time_point now)
{
    // A clear is the first event of a restarted engine, whose sequence starts
    // again.
    bool const restarted = event.kind == cache_event_kind::clear;
    if (has_sequence_ && event.sequence <= sequence_ && !restarted)
        return false;
    bool const gap = has_sequence_ && event.sequence != sequence_ + 1;
    sequence_ = event.sequence;
    has_sequence_ = true;
    if (gap && !restarted)
        trust_ = std::max(min_trust, trust_ * gap_trust_factor);
    else
        trust_ += (1. - trust_) * trust_recovery_step;
    switch (event.kind)
    {
    case cache_event_kind::add:
        index.add(event.blocks, {runner, generation_}, now);
        break;
    case cache_event_kind::remove:
        index.remove(event.blocks, runner);
        break;
    case cache_event_kind::clear:
        clear();
        break;
    }
    return true;
}

void cache_tracker::clear()
{
    ++generation_;
    trust_ = 1.;
}

} // namespace buckthornvale::decision::routing
