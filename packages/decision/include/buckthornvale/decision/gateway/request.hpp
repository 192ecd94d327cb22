#ifndef BUCKTHORNVALE_DECISION_GATEWAY_REQUEST_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_REQUEST_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A part of a prompt that requests may share. A cached part is not read again
//! when all parts before it are cached too.
struct prompt_part
{
    std::uint64_t id = 0;
    double tokens = 0;
};

//! What a caller states of its request.
struct request_traits
{
    std::string id; //!< of one attempt of the caller
    std::string method;
    std::string host; //!< without port, lower case
    std::string path;
    std::string key;                   //!< API key; empty without one
    std::optional<duration> time_left; //!< that the caller will wait
    double prompt_tokens = 0;
    double output_tokens = 0; //!< at most
    std::vector<prompt_part> prompt;
    std::vector<std::uint32_t> pieces; //!< of each stage; 0 leaves it out
    std::string piece_key;             //!< input of stages without inputs
    std::string last_event_id;         //!< the caller resumes a stream after it
    std::uint64_t body_hash = 0;
};

} // namespace buckthornvale::decision::gateway

#endif
