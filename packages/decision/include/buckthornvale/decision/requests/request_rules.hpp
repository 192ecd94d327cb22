#ifndef BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_RULES_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_RULES_HPP

#include <buckthornvale/decision/core/error.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>

#include <string_view>

namespace buckthornvale::decision::requests
{

//! Longest accepted idempotency key, in bytes: keys are kept in claims.
constexpr std::size_t max_idempotency_key_bytes = 128;

//! Checks that the presented key belongs to the organisation. Unknown
//! organisations and wrong keys get the same error, so that names cannot be
//! probed.
error check_organisation(fleet_settings const& settings,
                         std::string_view organisation,
                         std::string_view key_sha256);

//! Checks everything about a request that needs no state but settings.
error check_request(fleet_settings const& settings, caller_request const& call);

} // namespace buckthornvale::decision::requests

#endif
