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

//! Type of the runners of a pool: model engines or plain HTTP services.
enum class runner_kind
{
    engine,
    service
};

//! Settings of one rank.
struct rank_settings
{
    duration target{};            //!< latency target of the rank
    double worth = 1.0;           //!< value of an answer within the target
    double guaranteed_share = 0.; //!< fraction of each pool; sum at most 1
    double objective = 0.99;      //!< required fraction within the target
};

using rank_table = std::array<rank_settings, rank_count>;

//! One runner of a pool.
struct runner_settings
{
    std::string name;
    std::string host; //!< IP address
    std::uint16_t port = 0;
    std::string failure_domain;
    double slots = 1.0;    //!< requests processed concurrently
    bool draining = false; //!< receives no new requests
};

//! A pool of interchangeable runners.
struct pool_settings
{
    std::string name;
    runner_kind kind = runner_kind::engine;
    bool checks_fencing = false;     //!< engines reject stale fencing tokens
    bool answers_outcomes = false;   //!< services report outcomes by key
    bool resumes_streams = false;    //!< engines resume from a token index
    std::vector<std::string> models; //!< engines: models that may be loaded
    std::vector<runner_settings> runners;
};

//! One stage of a pipeline.
struct stage_settings
{
    std::string name;
    std::string pool;
    std::vector<std::string> after; //!< stages whose outputs this stage reads
    std::string model;              //!< engines: model to run
    std::string adapter;            //!< engines: adapter to use
    bool repeatable = true;         //!< safe to execute more than once
    bool stream = false;            //!< generates tokens
    bool hedge = false;             //!< a hedged second attempt is allowed
    duration expected{};            //!< initial estimate of the service time
};

//! A pipeline: a directed acyclic graph of stages.
struct pipeline_settings
{
    std::string name;
    duration deadline{};                //!< maximum deadline of a request
    std::vector<stage_settings> stages; //!< in topological order
};

//! Limits and key of one organisation.
struct organisation_settings
{
    std::string name;
    std::string key_sha256; //!< SHA-256 of the bearer key, 64 hex digits
    double weight = 1.0;    //!< relative to others of the same rank
    double requests_per_second = 0.;    //!< whole fleet; 0: no limit
    std::uint32_t concurrent = 0;       //!< whole fleet; 0: no limit
    std::vector<std::string> pipelines; //!< allowed ones; empty: all
};

//! Tuning parameters of the whole fleet.
struct fleet_parameters
{
    //! Windows for which the burn report computes the error budget burn rate.
    std::vector<duration> burn_windows = {
        std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6),
        std::chrono::hours(72)};
    double retry_share = 0.1;       //!< retries per first attempt
    double retry_burst = 10.;       //!< maximum of saved retries
    double weight_store_rate = 0.2; //!< model loads per second, whole fleet
    duration runner_queueing = std::chrono::milliseconds(150);  //!< admission
    duration remote_domain_cost = std::chrono::milliseconds(1); //!< routing
    duration warm_up = std::chrono::seconds(10); //!< ramp of a new runner
    std::uint32_t breaker_failures = 3; //!< consecutive failures to open
    //! Time open before a probe.
    duration breaker_open = std::chrono::seconds(1);
    double breaker_slowness = 4.; //!< slow: multiple of the predicted time
};

//! All fleet settings in force at one revision.
struct fleet_settings
{
    std::uint64_t revision = 0; //!< highest object version it includes
    rank_table ranks;
    fleet_parameters fleet;
    std::map<std::string, pool_settings> pools;
    std::map<std::string, pipeline_settings> pipelines;
    std::map<std::string, organisation_settings> organisations;
};

} // namespace buckthornvale::decision

#endif
