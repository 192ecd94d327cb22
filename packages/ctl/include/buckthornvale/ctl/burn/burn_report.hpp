#ifndef BUCKTHORNVALE_CTL_BURN_BURN_REPORT_HPP
#define BUCKTHORNVALE_CTL_BURN_BURN_REPORT_HPP

#include <buckthornvale/ctl/burn/snapshot.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::ctl
{

using decision::rank;
using decision::rank_count;

//! Request counts of a group in a time window.
struct attainment
{
    double requests = 0.;  //!< with any outcome
    double in_target = 0.; //!< completed within the rank's latency target

    //! Fraction of requests in target; nullopt without requests.
    std::optional<double> fraction() const;

    //! Burn rate: fraction that missed the target, divided by the error
    //! budget (1 - objective). Nullopt without requests.
    std::optional<double> burn(double objective) const;
};

//! A time window that ends at the last snapshot.
struct burn_window
{
    decision::duration length{};
    decision::duration covered{}; //!< by snapshots; partial if less than length
};

//! Error budget burn of one group in each window.
struct burn_row
{
    rank work_rank = rank::urgent;
    std::string group; //!< pipeline or organisation; empty for a whole rank
    double objective = 0.;
    std::vector<attainment> windows; //!< in the order of burn_report::windows
};

//! Runner time of one stage in the longest window, in seconds.
struct stage_cost
{
    std::string pipeline;
    std::string stage;
    std::array<double, rank_count> seconds{}; //!< by rank
    double wasted = 0.; //!< spent on results that were never delivered

    double total() const { return seconds[0] + seconds[1] + seconds[2]; }
};

//! Counts of one interval between snapshots, for plots.
struct burn_point
{
    std::int64_t at_ms = 0;
    std::array<attainment, rank_count> ranks;
    std::array<double, rank_count> stage_seconds{};
};

//! Latency quantiles of a rank in the longest window, in seconds; 0 without
//! requests.
struct latency_quantiles
{
    double p50 = 0.;
    double p95 = 0.;
    double p99 = 0.;
};

//! Contents of the burn report.
struct burn_report
{
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    std::size_t vms = 0; //!< in the last snapshot
    decision::rank_table ranks;
    std::vector<burn_window> windows; //!< shortest first
    std::vector<burn_row> by_rank;
    std::vector<burn_row> by_pipeline;
    std::vector<burn_row> by_organisation; //!< highest burn first, truncated
    std::vector<stage_cost> stages;        //!< most expensive first
    std::vector<burn_point> points;
    std::array<latency_quantiles, rank_count> latencies;
};

//! Computes the report. Lists at most `max_organisations` organisations.
burn_report make_burn_report(std::vector<snapshot> const& snapshots,
                             decision::rank_table const& ranks,
                             std::vector<decision::duration> const& windows,
                             std::size_t max_organisations);

//! Name of a window, such as `5m` or `6h`.
std::string window_name(decision::duration length);

std::string burn_text(burn_report const& report);
std::string burn_json(burn_report const& report);

//! Renders a self-contained HTML page with inline SVG plots.
std::string burn_html(burn_report const& report);

//! Multi-window alert rules in the Prometheus rule file format. Each rule
//! requires a high burn over both a long and a short window, so that it fires
//! and resolves quickly.
std::string burn_rules(decision::rank_table const& ranks,
                       std::vector<decision::duration> const& windows);

} // namespace buckthornvale::ctl

#endif
