#ifndef BUCKTHORNVALE_DECISION_ROUTING_CACHE_TRACKER_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_CACHE_TRACKER_HPP

#include <buckthornvale/decision/routing/prefix_index.hpp>

#include <cstdint>

namespace buckthornvale::decision::routing
{

//! Tracks the cache events of one runner. Events arrive late and with gaps. A
//! gap may hide removals, so the runner's matches are discounted until events
//! without a gap restore the trust in them.
class cache_tracker
{
public:
    //! Applies an event to the index; returns false for an event that was
    //! already applied.
    bool apply(cache_event const& event, runner_index runner,
               prefix_index& index, time_point now);

    //! Discards the runner's cache contents, as after a restart.
    void clear();

    //! Fraction of the indexed blocks that is assumed to be cached, in (0, 1].
    double trust() const { return trust_; }

    std::uint16_t generation() const { return generation_; }

private:
    std::uint64_t sequence_ = 0;
    double trust_ = 1.;
    std::uint16_t generation_ = 0;
    bool has_sequence_ = false;
};

} // namespace buckthornvale::decision::routing

#endif
