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

//! Expected work of one stage of a request in a pool.
struct stage_demand
{
    pool_id pool;
    duration expected_work{}; //!< slot time at the pool's mean speed
};

//! The part of a request that admission needs. `stages` is in the order of
//! execution and is copied when the request is queued or dispatched.
struct admission_request
{
    request_id request;
    organisation_id organisation;
    rank work_rank = rank::standard;
    time_point deadline;
    absl::Span<stage_demand const> stages;
    duration expected_total{}; //!< from dispatch to response, without queueing
};

enum class admission_outcome
{
    dispatch, //!< start the request now
    queued,   //!< a later poll() dispatches or expires it
    refused   //!< the request does not run, and nothing is kept of it
};

struct admission_decision
{
    admission_outcome outcome = admission_outcome::refused;
    error_kind reason = error_kind::none; //!< set when refused
    duration retry_after{}; //!< zero when no useful delay is known
};

//! Limits of one organisation over the whole fleet.
struct organisation_limits
{
    //! Relative share among organisations of the same rank.
    double weight = 1.0;
    double requests_per_second = 0.0; //!< 0: no limit
    std::uint32_t concurrent = 0;     //!< queued or running; 0: no limit
};

//! Order in which queued requests are dispatched.
enum class ordering
{
    fifo,            //!< by arrival
    strict_priority, //!< by rank, then by arrival
    //! Guaranteed rank shares, fair queueing between organisations.
    weighted_fair,
    deadline_aware, //!< highest worth per cost first, then least slack
    combined        //!< weighted_fair with deadline checks
};

struct admission_settings
{
    ordering order = ordering::combined;

    //! Queueing time at the runners that the backlog bound includes. A shorter
    //! time leaves slots idle between two polls; a longer one moves the queue
    //! from admission, where requests can still be reordered, to the runners.
    duration runner_queueing = std::chrono::milliseconds(150);

    //! Fraction of its initial slack that a request may spend in the queue.
    //! Under overload every request starts about this late, so the rest of the
    //! slack is the reserve for stages that take longer than expected.
    double queue_slack_part = 0.5;

    //! Fraction of the bounds that organisations above their fair level may
    //! fill in a rank whose demand cannot be served in full. A value below 1
    //! keeps runners free for the other organisations, at the cost of
    //! throughput.
    double heavy_part = 1.0;

    //! Maximum number of queued requests per rank. It bounds memory; the
    //! deadlines bound the waiting time.
    std::size_t queue_capacity = 4096;

    //! Granularity to which virtual token counters are rounded down when
    //! organisations are ordered; 0 compares them exactly. A granularity of
    //! several requests approximates deficit round robin and serves as a
    //! baseline in benchmarks.
    double counter_step = 0.0;

    //! Maximum number of organisations in a demand summary; bounds its size on
    //! the peer link.
    std::size_t summary_organisations = 32;

    //! Time constant of the exponential decay of demand estimates.
    duration demand_time_constant = std::chrono::seconds(2);

    //! Age above which the summary of a peer is ignored. Summaries are sent
    //! once a second, so one of them may be lost.
    duration summary_lifetime = std::chrono::milliseconds(2500);

    //! How long an earlier, larger fleet size still counts for the safe share.
    duration fleet_size_window = std::chrono::minutes(10);

    //! Time without requests after which the record of an organisation is
    //! evicted.
    duration organisation_idle_timeout = std::chrono::seconds(30);

    //! Burst that a rate limit allows, as a time at the limited rate.
    duration rate_burst = std::chrono::seconds(1);
};

//! Demand for one pool by rank, in slot seconds per second.
struct pool_demand
{
    pool_id pool;
    std::array<float, rank_count> work_rate{};
};

//! Demand of one organisation on one VM or a sum of VMs.
struct organisation_demand
{
    organisation_id organisation;
    float request_rate = 0; //!< offered requests per second
    float in_flight = 0;    //!< queued and running requests
    //! Offered cost per second by rank. The cost of a request is the sum over
    //! its stages of the expected work divided by the number of slots of the
    //! pool.
    std::array<float, rank_count> cost_rate{};
};

//! Demand of a VM, which it sends to its peers once per summary period. The
//! size is bounded by the number of pools times ranks plus
//! `summary_organisations` entries.
struct demand_summary
{
    //! Number of VMs in the sum; fleets of more than 16 VMs forward sums. A sum
    //! that a VM receives must not include that VM.
    std::uint32_t vms = 1;
    std::vector<pool_demand> pools;
    std::array<float, rank_count> cost_rate{}; //!< over all organisations
    std::vector<organisation_demand> heaviest;
    //! Upper bound on the request rate of an organisation that is not listed in
    //! `heaviest`.
    float unlisted_request_rate = 0;
};

} // namespace buckthornvale::decision::admission

#endif
