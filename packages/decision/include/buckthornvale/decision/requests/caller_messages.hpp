#ifndef BUCKTHORNVALE_DECISION_REQUESTS_CALLER_MESSAGES_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_CALLER_MESSAGES_HPP

#include <buckthornvale/decision/core/error.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Outcome of a request as told to the caller.
enum class outcome
{
    completed, //!< the answer contains the complete result
    not_run,   //!< no runner executed any part; safe to send again
    unknown    //!< it may have been executed
};

//! Name of the outcome in answers and metrics.
std::string_view name_of(outcome value);

//! A caller's request as parsed from HTTP.
struct caller_request
{
    std::string pipeline;
    std::string organisation;
    std::string key_sha256; //!< of the presented bearer key, 64 hex digits
    rank work_rank = rank::standard;
    duration deadline{};                //!< relative to its arrival
    std::string idempotency_key;        //!< empty: none
    std::optional<wall_time> issued_at; //!< time of issue of the key
    bool stream = false;
    std::string input; //!< JSON text, unchanged
};

//! Output of a stage: JSON text, or generated text when `is_text`.
struct stage_output
{
    std::string bytes;
    bool is_text = false;
};

using stage_output_ptr = std::shared_ptr<stage_output const>;

//! Where a stage was executed, for information of the caller.
struct stage_trace
{
    std::string stage;
    std::string runner;
    duration took{};
    std::uint32_t attempts = 0;
};

//! The answer to a request.
struct answer
{
    outcome result_kind = outcome::not_run;
    error failure;              //!< `none` when completed
    stage_output_ptr result;    //!< null unless completed
    bool safe_to_repeat = true; //!< certainly no non-repeatable stage started
    duration retry_after{};     //!< zero: not sent
    std::string outcome_key;    //!< key to query the outcome by; empty: none
    std::optional<wall_time> outcome_issued_at; //!< time of issue of that key
    std::vector<stage_trace> stages;
};

//! A request arrived.
struct request_received
{
    request_id request;
    caller_request call;
    wall_time received_at;
};

//! The caller closed its connection before the answer.
struct caller_gone
{
    request_id request;
};

//! A caller queries the outcome of an idempotency key.
struct outcome_queried
{
    request_id request; //!< id of this query
    std::string organisation;
    std::string key_sha256;
    std::string idempotency_key;
    std::optional<wall_time> issued_at; //!< as sent with the key
    wall_time received_at;
};

//! Effect: send the final answer, exactly once for each request.
struct send_answer
{
    request_id request;
    answer body;
};

//! Effect: send one generated token to a streaming caller. Indices are
//! consecutive.
struct send_token
{
    request_id request;
    std::uint64_t index = 0;
    std::string text;
};

} // namespace buckthornvale::decision::requests

#endif
