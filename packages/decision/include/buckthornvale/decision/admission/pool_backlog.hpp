#ifndef BUCKTHORNVALE_DECISION_ADMISSION_POOL_BACKLOG_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_POOL_BACKLOG_HPP

#include <buckthornvale/decision/admission/decayed_rate.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>

#include <array>
#include <optional>

namespace buckthornvale::decision::admission
{

//! This VM's part of a pool, in slots.
struct pool_share
{
    double slots = 0.0;
    std::array<double, rank_count> guaranteed{}; //!< by rank
};

//! Committed work of one pool on this VM, in seconds of slot time.
//!
//! A request holds its work for a pool from dispatch until that stage ends
//! (its lead). By Little's law a pool is in full use when the backlog is its
//! slots times the mean lead; the bound adds the queueing that the runners
//! may have.
class pool_backlog
{
public:
    explicit pool_backlog(pool_id id) : id_(id) {}

    pool_id id() const { return id_; }

    //! Usable slots over the fleet; empty until they are known.
    std::optional<double> fleet_slots() const { return fleet_slots_; }
    void set_fleet_slots(double slots) { fleet_slots_ = slots; }

    pool_share const& share() const { return share_; }
    void set_share(pool_share const& share) { share_ = share; }

    //! Notes a request's demand, whether or not it is admitted.
    void record_offered_work(rank r, double work, duration holding_time,
                             duration time_constant, time_point now);
    double offered_rate(rank r, duration time_constant, time_point now) const;

    //! Commits the work of a dispatched request.
    void commit(rank r, double work, duration time_constant, time_point now);
    void release(rank r, double work);

    //! Learns from a finished stage.
    void record_measured_work(double expected_work, double actual_work);

    //! Measured over expected work, which scales expectations.
    double work_ratio() const { return work_ratio_; }

    void add_queued(rank r, double work);
    double queued(rank r) const { return queued_[index_of(r)]; }
    double backlog(rank r) const { return backlog_[index_of(r)]; }
    double total_backlog() const;

    //! Time of the last dispatch of a rank, and of any rank.
    time_point last_commit(rank r) const { return last_commit_[index_of(r)]; }
    time_point last_commit() const;

    //! Work started per second.
    double start_rate(rank r, duration time_constant, time_point now) const;

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
    std::array<double, rank_count>
        holding_time_{};             //!< seconds; 0: not measured
    double mean_holding_time_ = 0.0; //!< over all ranks, by work
    double work_ratio_ = 1.0;
};

} // namespace buckthornvale::decision::admission

#endif
