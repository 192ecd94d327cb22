#ifndef BUCKTHORNVALE_DECISION_GATEWAY_ACTIVE_REQUEST_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_ACTIVE_REQUEST_HPP

#include <buckthornvale/decision/gateway/reducer.hpp>

namespace buckthornvale::decision::gateway
{

//! A request that has no final answer yet.
struct reducer::active_request
{
    request_ref ref = 0;
    request_traits traits;
    std::shared_ptr<manifest const> arrival_manifest; //!< when the request came
    route const* matched_route = nullptr; //!< owned by `arrival_manifest`
    std::string service;
    std::string organisation;
    int rank = 0;
    std::uint64_t fingerprint = 0; //!< of path, caller and body
    time_point arrived_at{};
    time_point due{};      //!< worth less after it
    time_point deadline{}; //!< worth nothing after it

    //! Failure domain of the runner that the request will go to, as expected
    //! when it came.
    std::string expected_domain;
    stage_pipeline pipeline;
    //! VM that schedules the pieces of a stage that has started.
    std::map<std::uint32_t, std::string> owners;
    std::map<std::uint32_t, time_point> submitted_at;

    std::uint32_t attempt = 0;             //!< number of the last send
    std::uint32_t possible_executions = 0; //!< sends that may have run
    std::uint32_t sends = 0; //!< sends that may have reached a runner
    bool in_flight = false;
    bool streaming = false; //!< the caller has got events
    std::string runner_id;
    std::set<std::string> tried_runners;
    time_point sent_at{};
    time_point last_progress{};
    std::string last_event_id;
    bool caller_gone = false;
};

} // namespace buckthornvale::decision::gateway

#endif
