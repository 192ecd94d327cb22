#ifndef BUCKTHORNVALE_DECISION_REQUESTS_EFFECT_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_EFFECT_HPP

#include <buckthornvale/decision/requests/attempt_messages.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>
#include <buckthornvale/decision/requests/count_messages.hpp>

#include <variant>
#include <vector>

namespace buckthornvale::decision::requests
{

//! Actions that request handling asks the I/O layer to execute.
using effect =
    std::variant<send_answer, send_token, start_attempt, cancel_attempt,
                 query_service_outcome, request_counted, stage_counted,
                 event_counted, state_logged>;

//! Effects in the order in which they were produced.
using effect_list = std::vector<effect>;

} // namespace buckthornvale::decision::requests

#endif
