#ifndef BUCKTHORNVALE_DECISION_CORE_SETTINGS_MODEL_HPP
#define BUCKTHORNVALE_DECISION_CORE_SETTINGS_MODEL_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::decision
{

//! What stands behind a pool: a model engine or a plain HTTP service.
enum class runner_kind
{
    engine,
    service
};

//! Settings of one rank.
struct rank_settings
{
    duration target{};            //!< latency target of the rank
    double worth = 1.0;           //!< worth of an answer within the target
    double guaranteed_share = 0.; //!< fraction of each pool, sums to <= 1
    double objective = 0.99;      //!< fraction within the target
};

using rank_table = std::array<rank_settings, rank_count>;

//! One runner of a pool.
struct runner_settings
{
    std::string name;
    std::string host; //!< IP number
    std::uint16_t port = 0;
    std::string failure_domain;
    double slots = 1.0;   //!< requests that it serves at once
    bool leaving = false; //!< gets no new work
};

//! A pool of interchangeable runners.
struct pool_settings
{
    std::string name;
    runner_kind kind = runner_kind::engine;
    bool checks_fencing = false;     //!< engines refuse an old fencing number
    bool answers_outcomes = false;   //!< service can be asked by key
    bool resumes_streams = false;    //!< engines resume from a token index
    std::vector<std::string> models; //!< engines: models that orders may load
    std::vector<runner_settings> runners;
};

//! One stage of a pipeline.
struct stage_settings
{
    std::string name;
    std::string pool;
    std::vector<std::string> after; //!< stages whose outputs are its input
    std::string model;              //!< engines: model to run
    std::string adapter;            //!< engines: adapter to use
    bool repeatable = true;         //!< may run more than once
    bool stream = false;            //!< generates tokens
    bool hedge = false;             //!< a second copy may race the first
    duration expected{};            //!< service time before it is measured
};

//! A pipeline: a directed acyclic graph of stages.
struct pipeline_settings
{
    std::string name;
    duration deadline{}; //!< longest deadline that a request may ask for
    std::vector<stage_settings> stages; //!< in topological order
};

//! Limits and key of one organisation.
struct organisation_settings
{
    std::string name;
    std::string key_sha256; //!< SHA-256 of the bearer key, 64 hex digits
    double weight = 1.0;    //!< share against others of the same rank
    double requests_per_second = 0.;    //!< over the fleet; 0: no limit
    std::uint32_t concurrent = 0;       //!< over the fleet; 0: no limit
    std::vector<std::string> pipelines; //!< allowed ones; empty: all
};

//! Values that hold for the whole fleet.
struct fleet_knobs
{
    //! Windows over which the burn report computes error budget burn.
    std::vector<duration> burn_windows = {
        std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6),
        std::chrono::hours(72)};
    double retry_share = 0.1;       //!< retries per first attempt
    double retry_burst = 10.;       //!< most saved retries, attempts
    double weight_store_rate = 0.2; //!< model loads per second, whole fleet
    duration backlog_bound = std::chrono::milliseconds(250); //!< per pool
    duration summary_period = std::chrono::seconds(1); //!< between summaries
    duration load_period = std::chrono::milliseconds(500); //!< GET /v1/load
    duration vm_list_period = std::chrono::seconds(1);     //!< GET /v1/vms
    duration status_period = std::chrono::seconds(5); //!< between status writes
    duration remote_domain_cost = std::chrono::milliseconds(1); //!< routing
    duration warm_up = std::chrono::seconds(10); //!< ramp of a new runner
    std::uint32_t breaker_failures = 5; //!< failures in a row that open it
    duration breaker_open = std::chrono::seconds(5); //!< before a probe
    double breaker_slowness = 4.; //!< times the pool's typical service time
};

//! All fleet settings in force at one revision.
struct fleet_settings
{
    std::uint64_t revision = 0; //!< highest object version it includes
    rank_table ranks;
    fleet_knobs fleet;
    std::map<std::string, pool_settings> pools;
    std::map<std::string, pipeline_settings> pipelines;
    std::map<std::string, organisation_settings> organisations;
};

} // namespace buckthornvale::decision

#endif
