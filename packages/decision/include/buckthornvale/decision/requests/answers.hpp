#ifndef BUCKTHORNVALE_DECISION_REQUESTS_ANSWERS_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_ANSWERS_HPP

#include <buckthornvale/decision/requests/caller_messages.hpp>
#include <buckthornvale/decision/requests/request_state.hpp>

namespace buckthornvale::decision::requests
{

//! Answer of a request that provably ran nowhere.
answer not_run_answer(error reason, duration retry_after);

//! Answer of a request that failed: `not_run` when no attempt of it may have
//! been executed, else `unknown`.
answer failed_answer(request_state const& request, error reason,
                     duration retry_after);

//! Answer of a request whose last stage is done.
answer completed_answer(request_state const& request);

//! Answer to a repeat, or to an outcome query, while nothing is known yet.
answer unknown_outcome_answer(error reason, duration retry_after);

//! Adds how the outcome of the request's key can be asked for.
void add_outcome_key(answer& body, request_state const& request);

} // namespace buckthornvale::decision::requests

#endif
