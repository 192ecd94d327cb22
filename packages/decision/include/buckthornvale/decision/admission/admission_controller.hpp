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

//! Sizes for metrics and status.
struct admission_counts
{
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t organisations = 0; //!< with state in memory
    std::uint64_t stale_peers = 0; //!< of the last capacity computation
};

//! Decides which requests start, wait or are refused on one VM.
//!
//! Requests wait here, before any stage, while a pool that they need has its
//! bound of committed work. Call poll() after every change, at least every few
//! milliseconds while anything is queued, and about once a second otherwise:
//! it also drops idle organisations. Request ids must be unique.
class admission_controller
{
public:
    explicit admission_controller(admission_settings settings,
                                  std::uint64_t seed);
    ~admission_controller();
    admission_controller(admission_controller&&) noexcept;
    admission_controller& operator=(admission_controller&&) noexcept;

    //! A refused request was not run and leaves no state behind.
    admission_decision admit(admission_request const& request, time_point now);

    //! Appends requests to start now and requests that expired unrun.
    void poll(time_point now, std::vector<request_id>& dispatch,
              std::vector<request_id>& expired);

    //! Takes a finished stage off its pool's backlog.
    void stage_finished(request_id id, pool_id pool, duration actual_work,
                        time_point now);

    //! Releases all that is left of a request.
    void finished(request_id id, time_point now);

    //! Returns true when the request was still queued: it was not run.
    bool cancel(request_id id, time_point now);

    //! Usable slots of a pool over the whole fleet; 0 stops dispatch to it.
    void set_pool_capacity(pool_id pool, double slots, time_point now);

    void set_organisation(organisation_id id,
                          organisation_limits const& limits);

    //! Returns an organisation to the default limits.
    void remove_organisation(organisation_id id);

    void set_ranks(rank_table const& ranks);

    //! Number of live entry VMs, this one included.
    void set_fleet(std::size_t live_vms, time_point now);

    //! Takes in the summary of a peer; the latest of each peer counts.
    void peer_demand(vm_id peer, demand_summary const& summary, time_point now);

    demand_summary local_demand(time_point now) const;

    admission_counts counts() const;

private:
    std::unique_ptr<detail::admission_state> state_;
};

} // namespace buckthornvale::decision::admission

#endif
