#ifndef BUCKTHORNVALE_DECISION_GATEWAY_STAGE_CAPACITY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_STAGE_CAPACITY_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>

namespace buckthornvale::decision::gateway
{

//! What the runners of a stage service can process.
struct stage_capacity
{
    //! Estimated wait of a piece behind this number of pieces, while pieces
    //! that are served before all of them arrive at this rate.
    duration wait_behind(std::size_t pieces, double more_urgent_per_s) const;

    //! Estimated wait of a piece behind this number of pieces of its rank, if
    //! the rank gets only this share of the capacity.
    duration wait_in_share(std::size_t pieces, double share) const;

    double slots = 1; //!< of usable runners, weighted by their speed
    bool has_free_slot = true;
    double batch = 1;          //!< pieces in a call while others wait
    duration short_call{};     //!< time of a call with few pieces
    duration batch_call{};     //!< time of a call with a batch
    double max_pieces_per_s{}; //!< with batches of the maximum size
};

} // namespace buckthornvale::decision::gateway

#endif
