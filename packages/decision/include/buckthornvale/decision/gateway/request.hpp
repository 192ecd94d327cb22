#ifndef BUCKTHORNVALE_DECISION_GATEWAY_REQUEST_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_REQUEST_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A segment of a prompt that several requests may share. A runner skips a
//! cached segment if all segments before it are cached too.
struct prompt_part
{
    std::uint64_t id = 0;
    double tokens = 0;
};

//! Properties of a request as stated by its caller.
struct request_traits
{
    std::string id; //!< identifies one attempt of the caller
    std::string method;
    std::string host; //!< without port, lower case
    std::string path;
    std::string key; //!< API key; empty without one
    //! Remaining time that the caller will wait.
    std::optional<duration> time_left;
    //! The connection has carried an earlier request. Callers retry on a new
    //! connection, so this is the caller's first attempt.
    bool on_reused_connection = false;
    double prompt_tokens = 0;
    double output_tokens = 0; //!< maximum number of output tokens
    std::vector<prompt_part> prompt;
    //! Number of pieces by stage; 0 skips the stage.
    std::vector<std::uint32_t> pieces;
    std::string piece_key;     //!< input of stages that read no results
    std::string last_event_id; //!< resumption point of a stream
    std::uint64_t body_hash = 0;
};

} // namespace buckthornvale::decision::gateway

#endif
