#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CODEC_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CODEC_HPP

#include <buckthornvale/decision/requests/attempt_messages.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::serving::upstream
{

//! Body of POST /v1/run or POST /v1/call. The caller's input is copied as it
//! came.
std::string encode_attempt(decision::requests::start_attempt const& value);

//! A whole answer of a runner.
struct runner_answer
{
    decision::attempt_id attempt;
    std::string output; //!< JSON text, as it came
};

//! Nothing when the body is not a documented answer.
std::optional<runner_answer> parse_answer(std::string_view body);

//! Data of a `token` event; nothing when malformed.
std::optional<decision::requests::attempt_token>
parse_token(std::string_view data);

//! Data of an `end` event.
struct stream_end
{
    decision::attempt_id attempt;
    std::uint64_t count = 0;
};

std::optional<stream_end> parse_stream_end(std::string_view data);

//! True for the body of the documented refusal: {"started":false}.
bool says_not_started(std::string_view body);

//! Answer to GET /v1/outcome?key= with status 200:
//! {"state":"completed","output"} or {"state":"not_seen"}; anything else is
//! `unavailable`.
void parse_service_outcome(std::string_view body,
                           decision::requests::service_outcome_received& told);

//! Answer to GET /v1/load; false when malformed. Fills all but the runner.
bool parse_load(std::string_view body,
                decision::requests::runner_reported& report);

//! Answer to GET /v1/cache_events.
struct cache_page
{
    std::vector<decision::requests::runner_cache_changed> events;
    std::uint64_t next = 0; //!< first sequence of the next page
};

std::optional<cache_page> parse_cache_page(std::string_view body,
                                           decision::runner_id runner);

} // namespace buckthornvale::serving::upstream

#endif
