#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_CONTROLLER_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_CONTROLLER_HPP

#include <buckthornvale/decision/admission/admission_types.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace buckthornvale::decision::admission
{

namespace detail
{
struct admission_state;
}

//! Counts that are reported in metrics and in the status.
struct admission_counts
{
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t organisations = 0; //!< with a record in memory
    //! Live peers without a fresh summary, as of the last capacity computation.
    std::uint64_t stale_peers = 0;
};

//! Admission control of one VM: dispatches, queues or refuses each request.
//!
//! A request waits here, before its first stage, while the committed work of a
//! pool that it needs is at the pool's bound. Call poll() after every change,
//! at least every few milliseconds while requests are queued, and about once a
//! second otherwise, because it also evicts idle organisations. Request ids
//! must be unique.
class admission_controller
{
public:
    explicit admission_controller(admission_settings settings,
                                  std::uint64_t seed);
    ~admission_controller();
    admission_controller(admission_controller&&) noexcept;
    admission_controller& operator=(admission_controller&&) noexcept;

    //! Decides about a new request. A refused request is not run, and nothing
    //! is kept of it.
    admission_decision admit(admission_request const& request, time_point now);

    //! Appends the requests to start now to `dispatch`, and those that expired
    //! in the queue without having run to `expired`.
    void poll(time_point now, std::vector<request_id>& dispatch,
              std::vector<request_id>& expired);

    //! Removes the work of a finished stage from the backlog of its pool and
    //! updates the estimates with the measured work.
    void stage_finished(request_id id, pool_id pool, duration actual_work,
                        time_point now);

    //! Releases the remaining committed work of a request and forgets the
    //! request.
    void finished(request_id id, time_point now);

    //! Removes a request that is still queued. Returns true when it was, and so
    //! has not run; a running request is left alone.
    bool cancel(request_id id, time_point now);

    //! Sets the usable slots of a pool over the whole fleet; 0 stops dispatch
    //! to the pool.
    void set_pool_capacity(pool_id pool, double slots, time_point now);

    void set_organisation(organisation_id id,
                          organisation_limits const& limits);

    //! Resets an organisation to the default limits.
    void remove_organisation(organisation_id id);

    void set_ranks(rank_table const& ranks);

    //! Sets the queueing time at the runners that the backlog bound includes.
    void set_runner_queueing(duration value);

    //! Sets the number of live entry VMs, this one included.
    void set_fleet_size(std::size_t live_vms, time_point now);

    //! Stores the demand summary of a peer in place of its previous one.
    void update_peer_demand(vm_id peer, demand_summary const& summary,
                            time_point now);

    demand_summary local_demand(time_point now) const;

    admission_counts counts() const;

private:
    std::unique_ptr<detail::admission_state> state_;
};

} // namespace buckthornvale::decision::admission

#endif
