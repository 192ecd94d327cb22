#ifndef BUCKTHORNVALE_DECISION_GATEWAY_ACTIVE_REQUEST_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_ACTIVE_REQUEST_HPP

#include <buckthornvale/decision/gateway/reducer.hpp>

namespace buckthornvale::decision::gateway
{

//! A request without a final answer.
struct reducer::active_request
{
    request_ref ref = 0;
    request_traits traits;
    //! In force when the request arrived.
    std::shared_ptr<manifest const> arrival_manifest;
    route const* matched_route = nullptr; //!< owned by `arrival_manifest`
    std::string service;
    std::string organisation;
    int rank = 0;
    std::uint64_t fingerprint = 0; //!< hash of path, API key and body
    //! The request may run although its content has crashed as often.
    std::uint32_t tolerated_crashes = crash_registry::crash_limit - 1;
    std::vector<crash_suspect> suspects;
    time_point arrived_at{};
    time_point due{};      //!< when the target latency ends
    time_point deadline{}; //!< when the caller stops waiting

    //! Expected failure domain of the runner of the request, chosen at its
    //! arrival.
    std::string expected_domain;
    stage_pipeline pipeline;
    //! VM that schedules the pieces, by started stage.
    std::map<std::uint32_t, std::string> owners;
    std::map<std::uint32_t, time_point> submitted_at;
    //! VMs that count its later stages in their forecasts.
    std::set<std::string> announced_to;

    std::uint32_t attempt = 0; //!< number of the current attempt
    //! Attempts that a runner may have executed.
    std::uint32_t possible_executions = 0;
    std::uint32_t sends = 0; //!< attempts that may have reached a runner
    bool in_flight = false;
    //! Waits until this VM may send to a runner that limits its requests.
    bool awaits_share = false;
    bool streaming = false; //!< events were forwarded to the caller
    std::string runner_id;
    std::set<std::string> tried_runners;
    time_point sent_at{};
    time_point last_progress{};
    std::string last_event_id;
    //! When a request that no runner took over is offered to them again.
    std::optional<time_point> retry_at;
    std::uint32_t planned_retries = 0;
    duration retry_delay{};        //!< the last wait until then
    bool delivery_blocked = false; //!< the caller takes its stream too slowly
    bool caller_gone = false;
    //! It cannot be on time and yields to requests that can.
    bool deferred = false;

    dispatch_priority priority() const
    {
        return {deferred, matched_route->rank, rank};
    }
};

} // namespace buckthornvale::decision::gateway

#endif
