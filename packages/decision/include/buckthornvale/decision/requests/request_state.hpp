#ifndef BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_STATE_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_STATE_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/isolation/fingerprint.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>
#include <buckthornvale/decision/requests/stage_graph.hpp>
#include <buckthornvale/decision/requests/token_sequence.hpp>

#include <absl/container/inlined_vector.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Progress of one stage of a request.
enum class stage_phase
{
    unneeded, //!< no stage that still has to run uses its output
    waiting,  //!< waits for its inputs or for a runner
    running,  //!< at least one attempt is in flight
    done
};

//! State of one stage of a request.
struct stage_state
{
    stage_phase phase = stage_phase::waiting;
    absl::InlinedVector<attempt_id, 2> attempts; //!< in flight
    absl::InlinedVector<runner_id, 4>
        tried_runners; //!< excluded from further attempts
    std::uint32_t attempt_count = 0;
    std::uint32_t possible_runs = 0; //!< attempts that may have been executed
    time_point first_started{};
    duration took{};
    std::string runner; //!< name of the runner whose output is used
    stage_output_ptr output;
    token_sequence tokens;
};

//! Progress of a request.
enum class request_phase
{
    queued,   //!< waits in the admission queue
    claiming, //!< waits for the claims of its non-repeatable stages
    running
};

//! State of one request in flight.
struct request_state
{
    request_id id;
    caller_request call;
    std::shared_ptr<std::string const> input;
    stage_graph_ptr graph;
    request_phase phase = request_phase::queued;
    time_point arrived{};
    time_point deadline{};
    wall_time received_at{};
    isolation::fingerprint content;
    std::vector<std::uint64_t> prefix_blocks; //!< of the input
    std::vector<stage_state> stages;
    std::size_t claims_open = 0; //!< claims without a decision yet
    bool answered = false;       //!< kept only until open attempts end

    //! True when any attempt may have been executed.
    bool may_have_run() const;

    //! True when a non-repeatable stage may have been executed by this
    //! request.
    bool non_repeatable_may_have_run() const;
};

//! Requests in flight. The map is ordered so that loops over it are
//! deterministic.
using request_table = std::map<request_id, request_state>;

//! Idempotency key that is sent to a service for a non-repeatable stage. It is
//! unique across organisations, pipelines and stages.
std::string service_key_of(request_state const& request, stage_index n);

//! Hashes of the input's prefixes of 256, 512, ... bytes, in the form in which
//! engines report them in their cache events.
std::vector<std::uint64_t> prefix_blocks_of(std::string_view input);

//! Marks an unfinished stage as waiting if it is non-repeatable, or if the
//! answer or a non-repeatable stage depends on it. Marks the others as
//! unneeded.
void mark_needed_stages(request_state& request);

//! True when stage `n` is waiting and all its inputs are available.
bool is_startable(request_state const& request, stage_index n);

} // namespace buckthornvale::decision::requests

#endif
