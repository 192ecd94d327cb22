#ifndef BUCKTHORNVALE_DECISION_GATEWAY_EVENT_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_EVENT_HPP

#include <buckthornvale/decision/gateway/manifest.hpp>
#include <buckthornvale/decision/gateway/request.hpp>
#include <buckthornvale/decision/gateway/runner.hpp>
#include <buckthornvale/decision/gateway/stage_message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

//! What the reducer learns from its shell.
namespace buckthornvale::decision::gateway
{

//! A caller's request was read whole.
struct request_arrived
{
    request_ref request = 0;
    request_traits traits;
};

struct caller_left
{
    request_ref request = 0;
};

//! How a send to a runner ended.
enum class attempt_outcome
{
    answered,   //!< a whole answer with a status
    not_sent,   //!< no connection; the runner has seen nothing
    no_answer,  //!< sent, then the connection broke or fell silent
    broken_off, //!< the answer or stream broke off midway
    refused     //!< the runner stated that it did not run the request
};

struct attempt_ended
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
    attempt_outcome outcome = attempt_outcome::no_answer;
    int status = 0;
    bool sealed = false;       //!< the runner vouches for the answer
    bool other_runner = false; //!< another runner has the address
    bool reset = false;        //!< the peer reset or closed the connection
    std::optional<runner_load> load;
    std::string last_event_id; //!< last whole event that the caller got
};

//! The first whole event of a stream is on its way to the caller.
struct stream_started
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
    std::optional<runner_load> load;
    std::string last_event_id; //!< last whole event that the caller got
};

//! A further event of a stream was passed on.
struct stream_advanced
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
    std::string last_event_id; //!< last whole event that the caller got
};

//! Number of a call to a stage runner.
using call_ref = std::uint64_t;

enum class call_outcome
{
    answered,
    not_sent, //!< no connection, or the runner refused the call
    no_answer
};

//! What a stage runner made of one piece.
struct made_piece
{
    piece_outcome outcome = piece_outcome::failed;
    bool no_room = false; //!< the runner is out of room for results
    std::string handle;
};

struct stage_call_ended
{
    call_ref call = 0;
    call_outcome outcome = call_outcome::no_answer;
    bool other_runner = false;
    std::vector<made_piece> pieces; //!< in the order of the call
};

//! A runner has given up results, or could not be told to.
struct stage_results_freed
{
    call_ref call = 0;
};

struct manifest_changed
{
    std::shared_ptr<manifest const> value;
};

//! All runners or members that are registered, or single changes.
struct runners_listed
{
    std::vector<runner> runners;
    bool after_outage = false; //!< the store was out of reach before
};

struct runner_changed
{
    runner value;
};

struct runner_removed
{
    std::string id;
    bool after_outage = false;
};

struct members_listed
{
    std::vector<member> members;
};

struct peer_sent
{
    std::string member;
    std::vector<peer_message> messages;
};

//! A message to the member was not taken.
struct peer_unreachable
{
    std::string member;
    std::vector<peer_message> undelivered;
};

//! The member answered; a new incarnation has lost what the former one held.
struct peer_answered
{
    std::string member;
    std::uint64_t incarnation = 0;
};

struct drain_started
{
};

struct timer_fired
{
};

using event =
    std::variant<request_arrived, caller_left, attempt_ended, stream_started,
                 stream_advanced, stage_call_ended, stage_results_freed,
                 manifest_changed, runners_listed, runner_changed,
                 runner_removed, members_listed, peer_sent, peer_unreachable,
                 peer_answered, drain_started, timer_fired>;

} // namespace buckthornvale::decision::gateway

#endif
