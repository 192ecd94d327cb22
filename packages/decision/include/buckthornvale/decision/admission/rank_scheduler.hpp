#ifndef BUCKTHORNVALE_DECISION_ADMISSION_RANK_SCHEDULER_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_RANK_SCHEDULER_HPP

#include <buckthornvale/decision/admission/pool_backlog.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>

namespace buckthornvale::decision::admission
{

//! Access that a rank has to a pool.
enum class pool_access
{
    blocked,
    borrowed,  //!< uses free capacity beyond the guaranteed share
    guaranteed //!< within the guaranteed share of the rank
};

//! Guaranteed shares of the ranks, with borrowing.
//!
//! Any rank may borrow an unused share of another rank while the pool is below
//! its bound. The owner reclaims it at once: a rank below its guaranteed part
//! of the bound dispatches even when other ranks fill the pool up to its bound.
//! The backlog of a pool can therefore exceed the bound, by at most the
//! guaranteed part, until the borrowed work has finished.
class rank_scheduler
{
public:
    void set_ranks(rank_table const& ranks) { ranks_ = ranks; }
    rank_table const& ranks() const { return ranks_; }

    //! Access of a request to one pool. Without `use_guarantees` all ranks
    //! compete for the bound of the pool. A request fits when half of its work
    //! is within the bound, so that the relative excess does not depend on the
    //! size of the bound. A share too small to hold one request is served at
    //! its rate, one request at a time. `bound_factor` scales the bounds for
    //! the organisation: above 1 when it need not wait for work of others,
    //! below 1 when it must leave capacity for them.
    pool_access access(pool_backlog const& pool, rank r, double work,
                       duration runner_queueing, bool use_guarantees,
                       double bound_factor, time_point now) const;

    //! Slots that a rank can expect of the share of this VM in a pool: the
    //! share minus what more urgent ranks use and what less urgent ranks use
    //! within their guarantees.
    double expected_slots(pool_backlog const& pool, rank r,
                          duration time_constant, time_point now) const;

    //! Charges a dispatch to its rank. start_tag() orders ranks by service
    //! received divided by their share, as in start-time fair queueing.
    void charge(rank r, double cost);
    double start_tag(rank r) const;

private:
    rank_table ranks_{};
    std::array<double, rank_count> counter_{};
    double virtual_time_ = 0.0;
};

} // namespace buckthornvale::decision::admission

#endif
