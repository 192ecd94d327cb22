#ifndef BUCKTHORNVALE_DECISION_ADMISSION_POOL_BACKLOG_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_POOL_BACKLOG_HPP

#include <buckthornvale/decision/admission/decayed_rate.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>

#include <array>
#include <optional>

namespace buckthornvale::decision::admission
{

//! Share of this VM in a pool, in slots.
struct pool_share
{
    double slots = 0.0;
    std::array<double, rank_count> guaranteed{}; //!< by rank
};

//! Committed work of one pool on this VM, in seconds of slot time.
//!
//! The work of a request for a pool is committed from dispatch until the stage
//! in that pool ends (its holding time). By Little's law a pool is fully used
//! when the backlog equals its slots times the mean holding time; the bound
//! adds the queueing time allowed at the runners.
class pool_backlog
{
public:
    explicit pool_backlog(pool_id id) : id_(id) {}

    pool_id id() const { return id_; }

    //! Usable slots over the whole fleet; empty until known.
    std::optional<double> fleet_slots() const { return fleet_slots_; }
    void set_fleet_slots(double slots) { fleet_slots_ = slots; }

    pool_share const& share() const { return share_; }
    void set_share(pool_share const& share) { share_ = share; }

    //! Records the demand of a request, whether or not it is admitted.
    void record_offered_work(rank r, double work, duration holding_time,
                             duration time_constant, time_point now);
    double offered_rate(rank r, duration time_constant, time_point now) const;

    //! Adds the work of a dispatched request to the backlog.
    void commit(rank r, double work, duration time_constant, time_point now);
    void release(rank r, double work);

    //! Updates the work ratio with the work of a finished stage.
    void record_measured_work(double expected_work, double actual_work);

    //! Ratio of measured to expected work, by which expected work is scaled.
    double work_ratio() const { return work_ratio_; }

    void add_queued(rank r, double work);
    double queued(rank r) const { return queued_[index_of(r)]; }
    double backlog(rank r) const { return backlog_[index_of(r)]; }
    double total_backlog() const;

    //! Time of the last dispatch of this rank, or of any rank.
    time_point last_commit(rank r) const { return last_commit_[index_of(r)]; }
    time_point last_commit() const;

    //! Work dispatched per second.
    double start_rate(rank r, duration time_constant, time_point now) const;

    //! Bounds on the backlog in seconds of slot time: of the pool, and of the
    //! guaranteed share of one rank.
    double bound(duration runner_queueing) const;
    double guaranteed_bound(rank r, duration runner_queueing) const;

private:
    pool_id id_;
    std::optional<double> fleet_slots_;
    pool_share share_;
    std::array<double, rank_count> backlog_{};
    std::array<double, rank_count> queued_{};
    std::array<time_point, rank_count> last_commit_{};
    std::array<decayed_rate, rank_count> offered_;
    std::array<decayed_rate, rank_count> started_;
    //! Mean by rank in seconds; 0: no sample yet.
    std::array<double, rank_count> holding_time_{};
    //! Mean over the requests of all ranks, in seconds.
    double mean_holding_time_ = 0.0;
    double work_ratio_ = 1.0;
};

} // namespace buckthornvale::decision::admission

#endif
