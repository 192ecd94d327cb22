#ifndef BUCKTHORNVALE_DECISION_GATEWAY_EVENT_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_EVENT_HPP

#include <buckthornvale/decision/gateway/crash_registry.hpp>
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

//! Events: input that the I/O layer passes to the reducer.
namespace buckthornvale::decision::gateway
{

//! A request was received completely.
struct request_arrived
{
    request_ref request = 0;
    request_traits traits;
};

struct caller_left
{
    request_ref request = 0;
};

//! How the exchange of messages with a runner ended.
enum class transport_end
{
    complete,  //!< a whole message, as its framing defines it
    not_sent,  //!< no connection; the runner has received nothing
    no_answer, //!< sent; then the connection was lost or timed out
    broken_off //!< the connection was lost or timed out within the message
};

//! What marks the end of the body of an answer.
enum class body_framing
{
    length,
    chunks,
    connection //!< neither of both: the body ends with the connection
};

//! What is known of the answer to an attempt. `judge_attempt` tells what
//! follows from it.
struct attempt_ended
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
    std::uint64_t connection = 0; //!< number, for logs only
    transport_end transport = transport_end::no_answer;
    body_framing framing = body_framing::length;
    int status = 0;
    bool identified = false;   //!< the answer names the request
    bool not_executed = false; //!< the answer states that it did not run
    bool sealed = false;       //!< the answer carries a valid integrity seal
    bool misdirected = false;  //!< another runner now listens at the address
    bool reset = false;        //!< the runner reset or closed the connection
    bool event_stream = false; //!< its events are forwarded on arrival
    bool has_events = false;   //!< of the stream, at least one was forwarded
    bool inside_event = false; //!< the last event of the stream is incomplete
    std::optional<runner_load> load;
    //! Last complete event that was sent to the caller.
    std::string last_event_id;
};

//! A runner said in an answer which further requests it wants. Follows from the
//! head of the answer, before its end.
struct runner_notified
{
    std::string runner_id;
    bool leaving = false;
    std::optional<duration> quiet_time;
    named_rate_limit rate_limit{};
};

//! The first complete event of a stream is being sent to the caller.
struct stream_started
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
    std::optional<runner_load> load;
    //! Last complete event that was sent to the caller.
    std::string last_event_id;
};

//! Another event of a stream was forwarded.
struct stream_advanced
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
    //! Last complete event that was sent to the caller.
    std::string last_event_id;
};

//! The caller takes the events of a stream too slowly, so that no more are read
//! from the runner, or has caught up.
struct delivery_blocked
{
    request_ref request = 0;
    bool blocked = false;
};

//! Identifier of a call to a stage runner.
using call_ref = std::uint64_t;

enum class call_outcome
{
    answered,
    not_sent, //!< no connection, or the runner refused the call
    no_answer
};

//! Result of one piece of a call to a stage runner.
struct piece_call_result
{
    piece_outcome outcome = piece_outcome::failed;
    bool no_room = false; //!< the runner has no memory left for results
    std::string handle;
};

struct stage_call_ended
{
    call_ref call = 0;
    call_outcome outcome = call_outcome::no_answer;
    bool misdirected = false;
    //! The answer is a late copy of an earlier one on its connection.
    bool repeated = false;
    //! In the order of the pieces in the call.
    std::vector<piece_call_result> pieces;
};

//! A request to free results was answered or could not be delivered.
struct stage_results_freed
{
    call_ref call = 0;
};

struct manifest_changed
{
    std::shared_ptr<manifest const> value;
};

//! Snapshots and single changes of the registered runners and members.
struct runners_listed
{
    std::vector<runner> runners;
    //! Set if the store was unreachable shortly before: at this time, or later.
    std::optional<time_point> store_failed_after{};
    //! The store has come back from a copy, and shows runners as they were when
    //! the copy was made.
    bool restored = false;
};

struct runner_changed
{
    runner value;
};

struct runner_removed
{
    std::string id;
    std::optional<time_point> store_failed_after{}; //!< as in runners_listed
};

//! The failure domains that the operator evacuates.
struct evacuations_listed
{
    std::vector<std::string> failure_domains;
    bool restored = false; //!< as in runners_listed
};

struct evacuation_changed
{
    std::string failure_domain;
    bool evacuated = false;
};

//! Crashes by content that the store keeps.
struct crash_records_read
{
    std::vector<stored_crashes> own;    //!< this VM has them stored
    std::vector<stored_crashes> others; //!< other VMs have them stored
    bool listed = false;                //!< all; otherwise some
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

//! Messages to the member could not be delivered.
struct peer_unreachable
{
    std::string member;
    std::vector<peer_message> undelivered;
};

//! The member answered. A new incarnation has lost the state of the previous
//! one.
struct peer_answered
{
    std::string member;
    std::uint64_t incarnation = 0;
};

//! The process was told to stop.
struct drain_started
{
    //! Time for which it still accepts requests. Callers that come later are
    //! refused.
    duration accept_for{};
    //! Time after which requests in progress are given up.
    duration finish_in{};
};

struct timer_fired
{
    explicit timer_fired(time_point until) : input_until(until) {}

    //! From each connection, input that had arrived by this time was reduced
    //! before. It is earlier than the event, and much earlier when the process
    //! was delayed, so that silence is measured until then.
    time_point input_until;
};

using event =
    std::variant<request_arrived, caller_left, attempt_ended, runner_notified,
                 stream_started, stream_advanced, delivery_blocked,
                 stage_call_ended, stage_results_freed, manifest_changed,
                 runners_listed, runner_changed, runner_removed,
                 evacuations_listed, evacuation_changed, members_listed,
                 crash_records_read, peer_sent, peer_unreachable, peer_answered,
                 drain_started, timer_fired>;

} // namespace buckthornvale::decision::gateway

#endif
