#ifndef BUCKTHORNVALE_DECISION_ADMISSION_RANK_SCHEDULER_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_RANK_SCHEDULER_HPP

#include <buckthornvale/decision/admission/pool_backlog.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>

namespace buckthornvale::decision::admission
{

//! What a rank may take from a pool at present.
enum class pool_access
{
    blocked,
    borrowed,  //!< capacity that is free at present
    guaranteed //!< within the rank's own share
};

//! Guaranteed shares of the ranks.
//!
//! A share that its rank does not use is lent: any rank may take it while the
//! pool is below its bound. It is taken back at once: a rank below its
//! guaranteed part of the bound dispatches even when others hold the pool at
//! its bound. A pool's backlog can so exceed the bound, by at most the
//! guaranteed part, until the lent work has drained.
class rank_scheduler
{
public:
    void set_ranks(rank_table const& ranks) { ranks_ = ranks; }
    rank_table const& ranks() const { return ranks_; }

    //! Access of a request to one pool. Without shares every rank competes
    //! for the bound. A request is within a bound when half of its work is,
    //! so that small parts are not exceeded more than large ones. A part that
    //! is too small for one request is used at its rate, one at a time.
    //! `part` scales the bounds for the organisation: above 1 when it need not
    //! wait for what others hold, below 1 when it leaves room for them.
    pool_access access(pool_backlog const& pool, rank r, double work,
                       duration runner_queueing, bool use_guarantees,
                       double bound_factor, time_point now) const;

    //! Slots that a rank can expect of this VM's part of a pool: what ranks
    //! above use and ranks below use within their guarantee is taken off.
    double expected_slots(pool_backlog const& pool, rank r,
                          duration time_constant, time_point now) const;

    //! Charges a dispatch; tag() orders ranks by service over their share.
    void charge(rank r, double cost);
    double start_tag(rank r) const;

private:
    rank_table ranks_{};
    std::array<double, rank_count> counter_{};
    double virtual_time_ = 0.0;
};

} // namespace buckthornvale::decision::admission

#endif
