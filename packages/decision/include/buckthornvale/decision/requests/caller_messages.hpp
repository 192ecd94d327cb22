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

//! The three things an answer can say.
enum class outcome
{
    completed, //!< the whole result is in the answer
    not_run,   //!< no upstream executed any part; safe to send again
    unknown    //!< it may have run
};

//! Name used in answers and metrics.
std::string_view name_of(outcome value);

//! A caller's request as the HTTP front parsed it.
struct caller_request
{
    std::string pipeline;
    std::string organisation;
    std::string key_sha256; //!< of the presented bearer key, 64 hex digits
    rank work_rank = rank::standard;
    duration deadline{};                //!< counted from its arrival
    std::string idempotency_key;        //!< empty: none
    std::optional<wall_time> issued_at; //!< time of issue of the key
    bool stream = false;
    std::string input; //!< JSON text, kept as it came
};

//! Output of a stage: JSON text, or generated text when `is_text`.
struct stage_output
{
    std::string bytes;
    bool is_text = false;
};

using stage_output_ptr = std::shared_ptr<stage_output const>;

//! Where a stage ran, for the caller.
struct stage_trace
{
    std::string stage;
    std::string runner;
    duration took{};
    std::uint32_t attempts = 0;
};

//! The one answer to a request.
struct answer
{
    outcome result_kind = outcome::not_run;
    error failure;              //!< `none` when completed
    stage_output_ptr result;    //!< null unless completed
    bool safe_to_repeat = true; //!< no non-repeatable stage may have started
    duration retry_after{};     //!< zero: no advice
    std::string outcome_key;    //!< key to ask the outcome by; empty: none
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

//! A caller asks for the outcome of an idempotency key.
struct outcome_asked
{
    request_id request; //!< id of this query
    std::string organisation;
    std::string key_sha256;
    std::string idempotency_key;
    std::optional<wall_time> issued_at; //!< as sent with the key
    wall_time received_at;
};

//! Effect: the final answer; sent exactly once for each request.
struct send_answer
{
    request_id request;
    answer body;
};

//! Effect: one generated token for a streaming caller; indices rise by one.
struct send_token
{
    request_id request;
    std::uint64_t index = 0;
    std::string text;
};

} // namespace buckthornvale::decision::requests

#endif
