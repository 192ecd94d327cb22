#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RATE_SHARE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RATE_SHARE_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>
#include <optional>

namespace buckthornvale::decision::gateway
{

//! Place of a VM among those that share a limit. All VMs work out the same
//! order, so that none has to ask another one.
struct share_position
{
    std::size_t position = 0; //!< from 0
    std::size_t vm_count = 0; //!< 0 if it is not known
};

//! A limit on the requests of all VMs together.
struct fleet_limit
{
    fleet_limit(double rate_per_s = 0,
                std::optional<double> most_in_second = {})
        : per_s(rate_per_s), max_in_second(most_in_second)
    {
    }

    double per_s; //!< requests per second
    //! If set, no second may hold more requests, whenever the VMs send them.
    std::optional<double> max_in_second;
};

//! Number of VMs that share a limit of the fleet. The sends of these VMs may
//! coincide, so that few of them can share a small limit.
std::size_t regular_senders(fleet_limit limit, std::size_t vm_count);

//! Time between two sends of a VM under a limit of the fleet. The first VMs use
//! the limit in equal parts. The others send so rarely that they only learn
//! what became of it, or not at all if the limit also bounds each second.
//! Returns duration::max() if the number of VMs is not known.
duration send_interval(fleet_limit limit, share_position of);

//! This VM's part of a limit on the requests that all VMs together may send:
//! single sends, an interval apart. The sum over all VMs in any window is at
//! most the limit for its length, an eighth more, and one request for each
//! regular sender. If the limit also bounds each second, that bound holds.
class rate_share
{
public:
    //! Applies a new limit, or a new place of this VM. `spread`, from 0 to 1,
    //! differs between VMs, so that their first sends do not coincide.
    void set(fleet_limit limit, share_position of, double spread,
             time_point now);

    double limit_per_s() const { return limit_per_s_; }
    duration interval() const { return interval_; }

    //! Time from which this VM may send again; time_point::max() for never.
    time_point next_send() const { return next_send_; }

    //! Number of requests that this VM may send from `now` until `until`.
    std::size_t sends_until(time_point until, time_point now) const;

    void count_send(time_point now);

private:
    double limit_per_s_ = 0;
    duration interval_ = duration::max();
    time_point next_send_ = time_point::max();
    std::optional<time_point> last_send_;
};

} // namespace buckthornvale::decision::gateway

#endif
