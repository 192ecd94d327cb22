#ifndef BUCKTHORNVALE_DECISION_ROUTING_LOAD_ESTIMATE_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_LOAD_ESTIMATE_HPP

#include <buckthornvale/decision/routing/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::routing
{

//! Assumptions that supplement the runner's own reports in a load estimate.
struct load_assumptions
{
    double mean_other_requests = 0.; //!< pool's mean of other VMs' requests
    duration fresh_age{}; //!< age up to which a report counts in full
    //! Requests of other VMs assumed to start and end with each request of this
    //! VM, because the other VMs see the same reports and use the same
    //! strategy.
    double correlated_peers = 0.;
};

//! Estimated requests in one runner: its last report, corrected by what this VM
//! sent and finished after the figures were measured.
class load_estimate
{
public:
    void sent(time_point now);
    void finished(time_point now);

    //! Applies a report; returns false if a later one was already applied.
    bool report(load_report const& value, time_point now);

    //! Attempts of this VM in the runner.
    std::uint32_t own_requests() const { return own_requests_; }

    //! Requests of other VMs in the runner at the time of the last report.
    double other_requests() const { return other_requests_; }

    bool has_report() const { return has_report_; }

    //! Estimated requests in the runner. As the report ages past `fresh_age`,
    //! the pool's mean of other VMs' requests replaces its figure.
    double total(time_point now, load_assumptions const& given) const;

    //! Time of the last observed progress: a completion, or the first attempt
    //! sent while this VM had none in the runner.
    time_point last_progress() const { return last_progress_; }

private:
    static constexpr std::size_t history_size = 16;
    static constexpr duration history_step = std::chrono::milliseconds(125);

    void advance(time_point now);
    std::uint32_t own_requests_at(time_point when) const;

    std::array<std::uint16_t, history_size> history_{};
    std::int64_t step_ = 0; //!< history step that `own_` belongs to
    std::uint32_t own_requests_ = 0;
    std::uint32_t own_requests_at_report_ = 0;
    double other_requests_ = 0.;
    std::uint64_t sequence_ = 0;
    time_point reported_at_{};
    time_point last_progress_{};
    bool has_report_ = false;
};

} // namespace buckthornvale::decision::routing

#endif
