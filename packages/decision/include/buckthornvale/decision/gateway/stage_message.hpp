#ifndef BUCKTHORNVALE_DECISION_GATEWAY_STAGE_MESSAGE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_STAGE_MESSAGE_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/gateway/crash_registry.hpp>
#include <buckthornvale/decision/gateway/crash_suspect.hpp>
#include <buckthornvale/decision/gateway/dispatch_priority.hpp>
#include <buckthornvale/decision/gateway/queue_forecast.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

//! Messages between VMs. Times are relative because the clocks of VMs are not
//! synchronised.
namespace buckthornvale::decision::gateway
{

//! Identifier of a request at the VM that received it from its caller.
using request_ref = std::uint64_t;

//! First request identifier of a process. Each process of a VM has its own
//! range, so that a result for a request of a previous process is not
//! attributed to a request of this one.
constexpr request_ref first_request_ref(std::uint64_t incarnation)
{
    constexpr unsigned process_bits = 32;
    return (incarnation << process_bits) + 1;
}

//! Returns the address of the runner that holds the result. A handle has the
//! form "ip:port/id".
inline std::string_view address_of(std::string_view handle)
{
    return handle.substr(0, handle.find('/'));
}

//! A unit of work of a request for a stage service.
struct piece
{
    request_ref request = 0; //!< identifier at the requesting VM
    std::uint32_t round = 0; //!< distinguishes repeated executions of a piece
    std::string request_id;  //!< request identifier of the caller
    std::string service;
    std::uint32_t stage = 0;
    std::uint32_t number = 0;        //!< index of the piece in its stage
    std::string key;                 //!< input of stages that read no results
    std::vector<std::string> inputs; //!< handles of results of earlier stages
    std::string domain;              //!< preferred failure domain
    double result_bytes = 0;
    dispatch_priority priority;
    duration due_in{};          //!< time until the target latency is missed
    duration latest_start_in{}; //!< time until a start is too late to be useful
    duration time_left{};       //!< time until the deadline
};

enum class piece_outcome
{
    done,
    late,       //!< it could not start in time
    input_gone, //!< an input no longer exists
    failed,     //!< all attempts on runners failed
    overloaded, //!< rejected because it cannot be done in time
    inputs_read //!< in progress; its inputs are no longer needed
};

//! Outcome of a piece.
struct piece_result
{
    std::string service;
    request_ref request = 0;
    std::uint32_t round = 0;
    std::uint32_t stage = 0;
    std::uint32_t number = 0;
    piece_outcome outcome = piece_outcome::failed;
    std::string handle; //!< handle of the result
};

//! Current queueing state of a service at its scheduler.
struct backlog
{
    std::string service;
    queue_forecast waits;         //!< time until a piece starts
    duration average_call_time{}; //!< average time of a call
    //! Share of the runners' result memory in use.
    double result_memory_share = 0;
};

struct submit_pieces
{
    std::vector<piece> pieces;
};

//! Pieces of a later stage of an admitted request. The forecasts of the service
//! count them before they are submitted; otherwise more is admitted than the
//! later stages can process.
struct announced_stage
{
    std::string service;
    request_ref request = 0;
    std::uint32_t stage = 0;
    std::uint32_t pieces = 0;
    dispatch_priority priority;
    duration due_in{}; //!< time until the target latency is missed
};

struct announce_stages
{
    std::vector<announced_stage> stages;
};

struct return_results
{
    std::vector<piece_result> results;
    std::vector<backlog> backlogs;
};

//! Results that are no longer needed and can be freed.
struct release_results
{
    std::string service;
    std::vector<std::string> handles;
};

//! Cancels the queued and announced pieces of requests that have ended.
struct cancel_pieces
{
    std::vector<request_ref> requests;
};

//! A runner reset its connection while it executed a request with this content.
struct report_crash
{
    std::uint64_t fingerprint = 0;
    //! The content was executed completely; clears its crashes.
    bool cleared = false;
};

//! Content with repeated crashes, for a VM that may have missed the reports: it
//! has started anew, or was cut off.
struct share_crash_records
{
    std::vector<crash_record> records;
};

//! A run was lost with its connection to the runner. Sent to the VM that judges
//! crashes of the service.
struct report_lost_run
{
    std::string service;
    std::string runner_id;
    bool answer_begun = false;
    std::vector<crash_suspect> suspects; //!< empty if events had arrived
};

//! A connection to the runner could not be made. Sent to the same VM.
struct report_unreachable_runner
{
    std::string service;
    std::string runner_id;
};

//! Asks for answered runs of these suspects since the first crash, now and
//! later.
struct accuse_suspects
{
    std::vector<crash_verdict> verdicts;
};

//! Runs with these suspects were answered; they are not to blame.
struct report_answered
{
    std::vector<crash_suspect> suspects;
};

//! Requests with these suspects are no longer sent to runners.
struct block_suspects
{
    std::vector<crash_verdict> verdicts;
};

//! The limit that answers of the runner name on its requests.
struct report_rate_limit
{
    std::string runner_id;
    std::int64_t started_at_ms = 0; //!< of the runner's incarnation
    std::optional<double> per_s;    //!< empty: they name none any more
};

using peer_message =
    std::variant<submit_pieces, return_results, release_results, cancel_pieces,
                 report_crash, announce_stages, report_lost_run,
                 report_unreachable_runner, accuse_suspects, report_answered,
                 block_suspects, share_crash_records, report_rate_limit>;

} // namespace buckthornvale::decision::gateway

#endif
