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

//! How one call to a runner ended, as far as the caller side can prove.
enum class attempt_outcome
{
    completed,       //!< a whole answer arrived
    not_started,     //!< proven not executed: the connection was refused before
                     //!< any byte was written, or the runner said so
    rejected,        //!< the runner answered with an error status
    connection_lost, //!< no whole answer after bytes were written
    timed_out,       //!< the budget passed without a whole answer
    cancelled        //!< ended by our own cancel
};

//! Output of an earlier stage that is input of this one.
struct named_output
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
    std::vector<named_output> results;        //!< of the stages it follows
    duration budget{};                        //!< time left for this attempt
    rank priority = rank::standard;
    bool stream = false;
    std::uint64_t resume_from = 0; //!< first token index that is wanted
    std::string idempotency_key;   //!< empty: none
};

//! Effect: tell the runner to stop, and abandon the call.
struct cancel_attempt
{
    attempt_id attempt;
    runner_id runner;
};

//! A token arrived on a call. `answered` is the attempt that the runner named.
struct attempt_token
{
    attempt_id call;
    attempt_id answered;
    std::uint64_t index = 0;
    std::string text;
};

//! A call ended. `answered` is the attempt that the runner named in its
//! answer, equal to `call` unless answers crossed.
struct attempt_ended
{
    attempt_id call;
    attempt_id answered;
    attempt_outcome result = attempt_outcome::connection_lost;
    bool runner_crashed = false;   //!< the connection was reset or refused
    std::string output;            //!< JSON text; empty for a stream
    std::uint64_t token_count = 0; //!< streams: count named by the end event
    std::string detail;            //!< for logs and error messages
    duration took{};
};

//! Effect: ask a plain service for the outcome of a key.
struct ask_service_outcome
{
    bookings::claim_id claim;    //!< returned with the answer
    std::string idempotency_key; //!< as sent to the service
    runner_id runner;
    std::string host;
    std::uint16_t port = 0;
};

//! What the service said about a key.
enum class service_outcome
{
    completed, //!< it ran; `output` is its result
    not_seen,  //!< it never ran
    unavailable
};

struct service_outcome_told
{
    bookings::claim_id claim;
    service_outcome result = service_outcome::unavailable;
    std::string output;
};

//! A runner's load report with the models and adapters it holds.
struct runner_reported
{
    runner_id runner;
    bool reachable = false; //!< false: no report; the rest is empty
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
    std::uint64_t sequence = 0; //!< gaps mean lost events
    cache_change change = cache_change::add;
    std::vector<std::uint64_t> blocks;
};

} // namespace buckthornvale::decision::requests

#endif
