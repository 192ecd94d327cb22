#ifndef BUCKTHORNVALE_DECISION_ROUTING_LOAD_ESTIMATE_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_LOAD_ESTIMATE_HPP

#include <buckthornvale/decision/routing/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::routing
{

//! What an estimate of load rests on besides the runner's own reports.
struct load_assumptions
{
    double mean_other_requests = 0.; //!< pool's mean of other VMs' requests
    duration fresh_age{}; //!< age up to which a report counts in full
    //! Requests of other VMs that come and go with each of this VM's: they
    //! see the same reports and choose by the same rule.
    double correlated_peers = 0.;
};

//! Requests in one runner: the last report, corrected by what this VM sent
//! and finished since the figures were taken.
class load_estimate
{
public:
    void sent(time_point now);
    void finished(time_point now);

    //! Takes a report; returns false when a later one was already taken.
    bool report(load_report const& value, time_point now);

    //! Attempts of this VM in the runner.
    std::uint32_t own_requests() const { return own_requests_; }

    //! Requests of other VMs in the runner at the time of the last report.
    double other_requests() const { return other_requests_; }

    bool has_report() const { return has_report_; }

    //! Estimated requests in the runner. As the report ages past `fresh`, the
    //! pool's mean of `others` takes its place.
    double total(time_point now, load_assumptions const& given) const;

    //! Time of the last progress seen: a completion, or the first send to the
    //! runner while it had nothing of this VM.
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
