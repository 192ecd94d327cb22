#ifndef BUCKTHORNVALE_DECISION_REQUESTS_ATTEMPT_MESSAGES_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_ATTEMPT_MESSAGES_HPP

#include <buckthornvale/decision/bookings/booking_types.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornvale::decision::requests
{

//! How one call to a runner ended, as far as this side can tell for certain.
enum class attempt_outcome
{
    completed,   //!< a complete answer arrived
    not_started, //!< certainly not executed: the connection was refused before
                 //!< any byte was written, or the runner said so
    rejected,    //!< the runner answered with an error status
    connection_lost, //!< no complete answer after bytes were written
    timed_out,       //!< no complete answer within the time budget
    cancelled        //!< cancelled by this side
};

//! Output of an earlier stage that is an input of this stage.
struct stage_input
{
    std::string stage;
    stage_output_ptr output;
};

//! Effect: call a runner.
struct start_attempt
{
    attempt_id attempt;
    request_id request;
    runner_id runner;
    std::string host; //!< IP number
    std::uint16_t port = 0;
    runner_kind kind = runner_kind::engine;
    std::string stage;
    std::string model;
    std::string adapter;
    std::shared_ptr<std::string const> input; //!< the request's JSON input
    std::vector<stage_input> results;         //!< outputs of the input stages
    duration budget{};                        //!< time left for this attempt
    rank priority = rank::standard;
    bool stream = false;
    std::uint64_t resume_from = 0; //!< index of the first token to send
    std::string idempotency_key;   //!< empty: none
};

//! Effect: ask the runner to stop, and abandon the call.
struct cancel_attempt
{
    attempt_id attempt;
    runner_id runner;
};

//! A token arrived on a call. `answered` is the attempt id that the runner sent
//! with it.
struct attempt_token
{
    attempt_id call;
    attempt_id answered_attempt;
    std::uint64_t index = 0;
    std::string text;
};

//! A call ended. `answered` is the attempt id in the runner's answer. It
//! differs from `call` when answers crossed, that is when the runner sent the
//! answer of one call on another call.
struct attempt_ended
{
    attempt_id call;
    attempt_id answered_attempt;
    attempt_outcome result = attempt_outcome::connection_lost;
    bool runner_crashed = false;   //!< the connection was reset or refused
    std::string output;            //!< JSON text; empty for a stream
    std::uint64_t token_count = 0; //!< streams: token count in the end event
    std::string detail;            //!< for logs and error messages
    duration took{};
};

//! Effect: query a service for the outcome of an idempotency key.
struct query_service_outcome
{
    bookings::claim_id claim;    //!< echoed in the answer
    std::string idempotency_key; //!< as sent to the service
    runner_id runner;
    std::string host;
    std::uint16_t port = 0;
};

//! Answer of a service to a query for the outcome of a key.
enum class service_outcome
{
    completed, //!< it was executed; `output` is its result
    not_seen,  //!< it was never executed
    unavailable
};

struct service_outcome_received
{
    bookings::claim_id claim;
    service_outcome result = service_outcome::unavailable;
    std::string output;
};

//! Load report of a runner with its loaded models and adapters.
struct runner_reported
{
    runner_id runner;
    bool reachable = false; //!< false: no report; the other fields are unset
    std::uint64_t sequence = 0;
    duration age{};
    double running = 0.;
    double queued = 0.;
    double slots = 0.;
    double tokens_per_s = 0.;
    bool leaving = false;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
};

//! Kind of change of a runner's prefix cache.
enum class cache_change
{
    add,
    remove,
    clear
};

struct runner_cache_changed
{
    runner_id runner;
    std::uint64_t sequence = 0; //!< a gap means that events were lost
    cache_change change = cache_change::add;
    std::vector<std::uint64_t> blocks;
};

} // namespace buckthornvale::decision::requests

#endif
