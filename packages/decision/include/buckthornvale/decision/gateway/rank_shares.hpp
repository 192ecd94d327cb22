#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RANK_SHARES_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RANK_SHARES_HPP

#include <cstddef>
#include <map>

namespace buckthornvale::decision::gateway
{

//! Number of pieces by route rank.
using rank_counts = std::map<int, std::size_t>;

//! Share of the places of more urgent pieces that a rank keeps if this number
//! of ranks is more urgent. Returns 1 for the most urgent rank. A rank further
//! behind keeps less, so that it is not served more often than one before it.
//! All ranks behind the most urgent one keep a tenth of its places at most.
double share_behind(std::size_t more_urgent_ranks);

//! Places in calls that less urgent ranks keep while more urgent pieces would
//! fill all calls. Pieces are taken by rank, so a flood of an urgent rank would
//! otherwise leave nothing to the ranks behind it.
//!
//! A rank that waits earns a part of a place for each more urgent piece that is
//! taken, and spends a place for each of its own pieces, so that a rank which
//! is served anyway keeps no places.
class rank_shares
{
public:
    //! Places of the next call that ranks take before more urgent ones.
    rank_counts places() const;

    //! Records a call with these pieces, while these are left in the queue.
    void record_call(rank_counts const& taken, rank_counts const& waiting);

private:
    std::map<int, double> earned_;
};

} // namespace buckthornvale::decision::gateway

#endif
