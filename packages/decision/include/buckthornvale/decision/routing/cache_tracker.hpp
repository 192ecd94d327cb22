#ifndef BUCKTHORNVALE_DECISION_ROUTING_CACHE_TRACKER_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_CACHE_TRACKER_HPP

#include <buckthornvale/decision/routing/prefix_index.hpp>

#include <cstdint>

namespace buckthornvale::decision::routing
{

//! Follows the cache events of one runner. Events come late and with gaps; a
//! gap may hide removals, so the runner's matches count less until events
//! without a gap confirm its cache again.
class cache_tracker
{
public:
    //! Applies an event to the index; returns false for one already seen.
    bool apply(cache_event const& event, runner_index runner,
               prefix_index& index, time_point now);

    //! Forgets the runner's cache, as after a restart.
    void clear();

    //! Share of the indexed blocks to count on, in (0, 1].
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
