#ifndef BUCKTHORNVALE_BENCH_POLICY_REPORT_HPP
#define BUCKTHORNVALE_BENCH_POLICY_REPORT_HPP

#include "simulation.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace buckthornvale::bench
{

//! Figures of one run.
struct figures
{
    std::array<double, rank_count> attainment{}; //!< in time over offered
    std::array<double, rank_count> goodput{};    //!< in time, requests/s
    //! Model work in time over the smaller of the rank's demand and its
    //! guaranteed share.
    std::array<double, rank_count> guarantee_kept{};
    //! Goodput over that of the normal load with the same policy.
    std::array<double, rank_count> goodput_kept{};
    double worth_per_second = 0.0;
    double jain = 0.0; //!< over callers, of service over max-min fair service
    double small_p95 = 0.0; //!< latency over expected time; small callers
    double small_p95_against_normal = 0.0;
    //! Parts of the slowdown of small callers, 95th percentiles.
    double small_p95_wait = 0.0;    //!< at admission
    double small_p95_service = 0.0; //!< on runners, without their queues
    double wasted = 0.0;            //!< part of all stage work
    std::array<double, rank_count> wasted_by_rank{};
    double spread_ratio = 0.0; //!< caller 0's service over caller 1's
    std::array<double, stage_kind_count> stage_cost{}; //!< per request in time
};

figures summarise(deployment const& shape, scenario const& load,
                  run_result const& result, figures const* normal);

//! One target of the design with the measured figure.
struct target_check
{
    std::string name;
    double measured = 0.0;
    double bound = 0.0;
    bool met = false;
};

std::vector<target_check> check_targets(scenario const& load, figures const& it,
                                        figures const& normal);

//! Prints the heading and one line per policy.
std::string table_heading(deployment const& shape, scenario const& load);
std::string table_line(policy const& rule, figures const& it,
                       std::vector<target_check> const& checks);
nlohmann::json to_json(figures const& it,
                       std::vector<target_check> const& checks);

} // namespace buckthornvale::bench

#endif
