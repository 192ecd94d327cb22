#ifndef BUCKTHORNVALE_DECISION_REQUESTS_ANSWERS_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_ANSWERS_HPP

#include <buckthornvale/decision/requests/caller_messages.hpp>
#include <buckthornvale/decision/requests/request_state.hpp>

namespace buckthornvale::decision::requests
{

//! Answer to a request of which certainly no part was executed.
answer not_run_answer(error reason, duration retry_after);

//! Answer to a failed request: `not_run` when certainly none of its attempts
//! was executed, else `unknown`.
answer failed_answer(request_state const& request, error reason,
                     duration retry_after);

//! Answer to a request whose last stage completed.
answer completed_answer(request_state const& request);

//! Answer to a repeated request, or to an outcome query, while the outcome is
//! not known.
answer unknown_outcome_answer(error reason, duration retry_after);

//! Adds the idempotency key by which the caller can query the outcome.
void add_outcome_key(answer& body, request_state const& request);

} // namespace buckthornvale::decision::requests

#endif
