#ifndef BUCKTHORNVALE_DECISION_GATEWAY_EFFECT_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_EFFECT_HPP

#include <buckthornvale/decision/gateway/event.hpp>
#include <buckthornvale/decision/gateway/refusal.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

//! Effects: actions that the reducer requests from the I/O layer.
namespace buckthornvale::decision::gateway
{

//! Sends the request to a runner.
struct send_attempt
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
    std::string runner_id;
    std::string address;
    std::string organisation;
    std::optional<int> priority;
    //! Expected time until the first event of a model runner.
    std::optional<duration> expected_first_event;
    std::string inputs; //!< comma-separated handles of stage results
    std::string last_event_id;
    duration time_left{};
    bool stream = false;
    //! Requires a connection that cannot be stale.
    bool reliable_connection = false;
};

//! Closes the connection of an attempt, so that the runner stops processing it.
struct cancel_attempt
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
};

//! Forwards the runner's complete answer to the caller.
struct deliver_answer
{
    request_ref request = 0;
    std::uint32_t attempt = 0;
};

struct refuse_request
{
    request_ref request = 0;
    refusal reason = refusal::none;
    int status = 0;
    std::optional<duration> retry_after;
    //! Not set if the request was refused before its route was known.
    std::optional<int> route_rank{};
};

//! Terminates an incomplete stream in a way that the caller cannot mistake for
//! its regular end.
struct abort_stream
{
    request_ref request = 0;
    refusal reason = refusal::none;
};

struct call_stage
{
    call_ref call = 0;
    std::string runner_id;
    std::string address;
    duration timeout{};
    std::vector<piece> pieces;
};

struct free_results
{
    call_ref call = 0;
    std::string address; //!< address of the runner that holds the results
    std::string runner_id;
    std::vector<std::string> handles;
};

//! Closes the idle connections to the address. The next answer on one of them
//! could belong to an earlier request.
struct close_idle_connections
{
    std::string address;
};

struct send_to_peer
{
    std::string member;
    std::string address;
    peer_message message;
};

//! Removes an unreachable VM from the registered members.
struct remove_member
{
    std::string member;
};

//! Reads all registered runners again, and not only their changes.
struct list_runners
{
};

//! Has the store keep these crashes by content, in place of those before.
struct store_crash_records
{
    std::vector<stored_crashes> records;
};

//! A decision to be logged.
struct log_decision
{
    struct field
    {
        char const* name;
        std::string value;
    };
    char const* what = "";
    std::string request_id;
    std::vector<field> fields;
};

using effect =
    std::variant<send_attempt, cancel_attempt, deliver_answer, refuse_request,
                 abort_stream, call_stage, free_results, close_idle_connections,
                 send_to_peer, remove_member, list_runners, store_crash_records,
                 log_decision>;

using effects = std::vector<effect>;

} // namespace buckthornvale::decision::gateway

#endif
