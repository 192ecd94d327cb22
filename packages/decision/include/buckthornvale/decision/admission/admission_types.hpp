#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_TYPES_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_TYPES_HPP

#include <buckthornvale/decision/core/error.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <absl/types/span.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::admission
{

//! Work that one stage of a request is expected to take from a pool.
struct stage_demand
{
    pool_id pool;
    duration expected_work{}; //!< slot time at the pool's mean speed
};

//! A request as admission sees it. `stages` is in the order of execution and
//! is copied when the request is kept.
struct admission_request
{
    request_id request;
    organisation_id organisation;
    rank work_rank = rank::standard;
    time_point deadline;
    absl::Span<stage_demand const> stages;
    duration expected_total{}; //!< from dispatch to response, without queueing
};

enum class verdict
{
    dispatch, //!< start now
    queued,   //!< a later poll() dispatches or expires it
    refused   //!< not run; nothing is kept
};

struct admission_decision
{
    verdict outcome = verdict::refused;
    error_kind reason = error_kind::none; //!< set when refused
    duration retry_after{};               //!< zero when no time is known
};

//! Limits of one organisation over the whole fleet.
struct organisation_limits
{
    double weight = 1.0;              //!< share against others of its rank
    double requests_per_second = 0.0; //!< 0: no limit
    std::uint32_t concurrent = 0;     //!< queued or running; 0: no limit
};

//! Order in which waiting requests are dispatched.
enum class ordering
{
    fifo,            //!< by arrival
    strict_priority, //!< by rank, then by arrival
    weighted_fair,   //!< guaranteed shares, fair between organisations
    deadline_aware,  //!< worth per cost, then least slack
    combined         //!< weighted_fair with deadline checks
};

struct admission_settings
{
    ordering order = ordering::combined;

    //! Queueing at the runners that the backlog bound allows for. Shorter
    //! leaves slots idle between two polls, longer moves the queue from
    //! admission, where it can be reordered, to the runners.
    duration runner_queueing = std::chrono::milliseconds(150);

    //! Part of the slack with which a request arrives that it may spend in the
    //! queue. Under overload every request is started about this late, so the
    //! rest is what the stages may take longer than expected.
    double queue_slack_part = 0.5;

    //! Part of the bounds that organisations above their fair level may fill
    //! in a rank that cannot be served in full. Below 1 it keeps runners free
    //! for the other organisations, at the cost of throughput.
    double heavy_part = 1.0;

    //! Requests that wait per rank; bounds memory, deadlines bound the wait.
    std::size_t queue_capacity = 4096;

    //! Step to which virtual token counters are rounded when organisations are
    //! ordered; 0 orders them exactly. A step of several requests serves them
    //! as deficit round robin would; kept as a baseline.
    double counter_step = 0.0;

    //! Organisations in a demand summary; bounds its size on the peer link.
    std::size_t summary_organisations = 32;

    //! Time constant of demand estimates.
    duration demand_time_constant = std::chrono::seconds(2);

    //! A peer's summary older than this is not used. Summaries come once a
    //! second, so one may be lost.
    duration summary_lifetime = std::chrono::milliseconds(2500);

    //! How long a fleet size counts for the safe share.
    duration fleet_size_window = std::chrono::minutes(10);

    //! An organisation without requests for this long is dropped.
    duration organisation_idle_timeout = std::chrono::seconds(30);

    //! Burst that a rate limit allows, as time at the limited rate.
    duration rate_burst = std::chrono::seconds(1);
};

//! Demand for one pool by rank, in slot seconds per second.
struct pool_demand
{
    pool_id pool;
    std::array<float, rank_count> work_rate{};
};

//! Demand of one organisation.
struct organisation_demand
{
    organisation_id organisation;
    float request_rate = 0; //!< offered requests per second
    float in_flight = 0;    //!< queued and running requests
    //! Offered cost per second by rank; the cost of a request is the sum of
    //! its work over the slots of each pool.
    std::array<float, rank_count> cost_rate{};
};

//! What a VM tells its peers once per summary period. Its size is bounded:
//! pools times ranks plus `summary_organisations` entries.
struct demand_summary
{
    //! VMs that it sums over; above 16 VMs the fleet passes sums on. A sum
    //! that a VM receives must not include the VM itself.
    std::uint32_t vms = 1;
    std::vector<pool_demand> pools;
    std::array<float, rank_count> cost_rate{}; //!< over all organisations
    std::vector<organisation_demand> heaviest;
    //! Upper bound of the request rate of an organisation that is not listed.
    float unlisted_request_rate = 0;
};

} // namespace buckthornvale::decision::admission

#endif
