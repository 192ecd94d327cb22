#ifndef BUCKTHORNVALE_BENCH_POLICY_SIMULATION_HPP
#define BUCKTHORNVALE_BENCH_POLICY_SIMULATION_HPP

#include "model.hpp"
#include "scenario.hpp"
#include <buckthornvale/decision/admission/admission_types.hpp>

#include <string>
#include <vector>

namespace buckthornvale::bench
{

//! Overload control in front of the controllers.
enum class gate_kind
{
    none,
    level, //!< DAGOR-like
    ageing //!< CoDel-like
};

//! One policy of the comparison.
struct policy
{
    std::string name;
    decision::admission::ordering order =
        decision::admission::ordering::combined;
    gate_kind gate = gate_kind::none;
    double counter_step = 0.0; //!< as in admission_settings
};

struct bench_options
{
    std::uint64_t seed = 1;
    double speed_spread = 4.0;
    bool summaries = true;         //!< else every peer stays stale
    bool runner_priority = false;  //!< runners serve by rank, else by arrival
    double queue_slack_part = 0.5; //!< as in admission_settings
    std::size_t summary_organisations = 32; //!< as in admission_settings
    double heavy_part = 1.0;                //!< as in admission_settings
    double runner_queueing = 0.15; //!< seconds, as in admission_settings
};

//! Fate of one request that arrived in the measured time.
struct outcome
{
    std::size_t caller = 0;
    rank work_rank = rank::standard;
    bool started = false; //!< else not run
    bool in_time = false;
    double latency = 0.0; //!< seconds, when in time
    double waited = 0.0;  //!< seconds, at admission
    double served = 0.0;  //!< slot seconds, all stages
};

struct run_result
{
    std::vector<outcome> outcomes;
    std::array<double, stage_kind_count> stage_work{}; //!< slot seconds
    //! Slot seconds of requests that missed their deadline.
    std::array<double, rank_count> wasted_work{};
    //! Slot seconds on the model pool of requests in time.
    std::array<double, rank_count> model_work{};
    double seconds = 0.0; //!< measured
};

run_result run(deployment const& shape, scenario const& load,
               policy const& rule, bench_options const& options);

} // namespace buckthornvale::bench

#endif
