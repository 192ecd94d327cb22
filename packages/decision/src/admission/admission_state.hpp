#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_STATE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ADMISSION_STATE_HPP

#include <buckthornvale/decision/admission/admission_controller.hpp>
#include <buckthornvale/decision/admission/admission_queue.hpp>
#include <buckthornvale/decision/admission/demand_tracker.hpp>
#include <buckthornvale/decision/admission/ordering_policy.hpp>
#include <buckthornvale/decision/admission/organisation_fairness.hpp>
#include <buckthornvale/decision/admission/organisation_limiter.hpp>
#include <buckthornvale/decision/admission/organisation_table.hpp>
#include <buckthornvale/decision/admission/peer_view.hpp>
#include <buckthornvale/decision/admission/pool_backlog.hpp>
#include <buckthornvale/decision/admission/rank_scheduler.hpp>
#include <buckthornvale/decision/admission/residence_estimate.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <pcg_random.hpp>

#include <memory>
#include <set>

namespace buckthornvale::decision::admission::detail
{

//! Number of stages stored inline: the longest pipeline of the design target.
//! Longer ones use the heap.
constexpr std::size_t inline_stage_count = 6;

//! Work of one stage of a queued or running request.
struct tracked_stage
{
    std::uint32_t pool = 0;
    double expected = 0.0;  //!< seconds of slot time, as given in the request
    double committed = 0.0; //!< `expected` times the work ratio of the pool
    bool finished = false;
};

//! A queued or running request.
struct tracked_request
{
    request_id id;
    organisation_id organisation;
    rank work_rank = rank::standard;
    std::uint32_t path = 0;
    float weight = 1.0F;
    bool running = false;
    double bound_factor = 1.0; //!< factor on the bounds for its organisation
    queue_position position;
    time_point deadline;
    //! When it is removed from the queue without having run.
    time_point expires;
    time_point dispatched; //!< set when running
    duration expected_total{};
    double cost = 0.0;
    absl::InlinedVector<tracked_stage, inline_stage_count> stages;
};

//! Queues and estimates of the requests that use the same pools in the same
//! order. The number of paths follows the configured pipelines.
struct path_state
{
    std::array<admission_queue, rank_count> queues;
    std::array<residence_estimate, rank_count> residence;
};

//! State of the admission controller, and the operations that its functions
//! share.
struct admission_state
{
    admission_state(admission_settings const& settings, std::uint64_t seed);

    // Settings and capacity.
    organisation_limits const& limits_of(organisation_id id) const;
    std::uint32_t pool_index(pool_id id);
    std::uint32_t path_index(absl::Span<tracked_stage const> stages);
    void refresh(time_point now);

    // Checks before a request is accepted; error_kind::none means that it
    // passed.
    admission_decision check_limits(organisation_record& record,
                                    organisation_limits const& limits,
                                    time_point now);
    admission_decision check_deadline(tracked_request const& request,
                                      organisation_record const& record,
                                      time_point now);
    bool queue_full(organisation_record const& record, rank r) const;
    bool lacks_runner(tracked_request const& request) const;

    tracked_request make_tracked_request(admission_request const& request,
                                         organisation_record const& record,
                                         time_point now);
    void record_demand(tracked_request const& request,
                       organisation_record& record, time_point now);

    // Queue.
    pool_access access(tracked_request const& request, time_point now) const;
    double bound_factor(tracked_request const& request,
                        organisation_record const& record) const;
    bool may_dispatch_now(tracked_request const& request, time_point now) const;
    duration predicted_wait(tracked_request const& request,
                            organisation_record const& record,
                            time_point now) const;
    void enqueue(tracked_request const& request, organisation_record& record);
    void dequeue(tracked_request const& request);
    void start(tracked_request& request, time_point now);
    tracked_request* next_candidate(time_point now);
    double ordering_counter(organisation_id id, rank r) const;
    bool cannot_meet_deadline(tracked_request const& request,
                              time_point now) const;
    organisation_id flow_of(tracked_request const& request) const;
    duration with_jitter(duration value);

    admission_decision refuse(error_kind reason, duration retry_after);

    admission_settings settings;
    std::unique_ptr<ordering_policy const> policy;
    policy_traits traits;
    pcg32 random;
    rank_scheduler ranks;
    organisation_fairness fairness;
    organisation_table organisations;
    demand_tracker demand;
    peer_view peers;
    absl::flat_hash_map<organisation_id, organisation_limits> limits;
    std::vector<pool_backlog> pools;
    absl::flat_hash_map<pool_id, std::uint32_t> pool_indices;
    std::vector<path_state> paths;
    absl::flat_hash_map<std::uint64_t, std::uint32_t> path_indices;
    absl::flat_hash_map<request_id, std::unique_ptr<tracked_request>> requests;
    std::set<std::pair<time_point, request_id>> expiries;
    std::array<std::size_t, rank_count> queued{};
    std::array<double, rank_count> queued_weight{};
    std::uint64_t arrival_count = 0;
    std::array<double, rank_count> fair_level{};
    time_point last_refresh;
    //! Capacity, ranks or fleet size changed since the last refresh.
    bool needs_refresh = true;
};

} // namespace buckthornvale::decision::admission::detail

#endif
