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
    unneeded, //!< nothing that still has to run reads its output
    waiting,  //!< for its inputs or for a runner
    running,  //!< at least one attempt is in flight
    done
};

//! State of one stage of a request.
struct stage_state
{
    stage_phase phase = stage_phase::waiting;
    absl::InlinedVector<attempt_id, 2> attempts;     //!< in flight
    absl::InlinedVector<runner_id, 4> tried_runners; //!< never chosen again
    std::uint32_t attempt_count = 0;
    std::uint32_t possible_runs = 0; //!< attempts not proven unstarted
    time_point first_started{};
    duration took{};
    std::string runner; //!< name of the one whose output is used
    stage_output_ptr output;
    token_sequence tokens;
};

//! Progress of a request.
enum class request_phase
{
    queued,   //!< in the admission queue
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
    bool answered = false;       //!< only outstanding outcomes are awaited

    //! True when some attempt of some stage may have been executed.
    bool may_have_run() const;

    //! True when a non-repeatable stage may have been executed by this
    //! request.
    bool non_repeatable_may_have_run() const;
};

//! Requests in flight, ordered so that decisions over all are repeatable.
using request_table = std::map<request_id, request_state>;

//! Key under which a service sees a non-repeatable stage: unique over
//! organisations, pipelines and stages.
std::string service_key_of(request_state const& request, stage_index n);

//! Identities of the input's prefixes: the stable hash of its first 256, 512,
//! ... bytes, as engines name them in their cache events.
std::vector<std::uint64_t> prefix_blocks_of(std::string_view input);

//! Marks the stages that the answer still depends on as waiting, all others
//! that are not done as unneeded.
void mark_needed_stages(request_state& request);

//! True when all inputs of stage `n` are there and it was not started.
bool is_startable(request_state const& request, stage_index n);

} // namespace buckthornvale::decision::requests

#endif
