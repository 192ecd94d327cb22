#ifndef BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_RULES_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_REQUEST_RULES_HPP

#include <buckthornvale/decision/core/error.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/requests/caller_messages.hpp>

#include <string_view>

namespace buckthornvale::decision::requests
{

//! Maximum length of an idempotency key. Keys are stored in claims, so their
//! size is limited.
constexpr std::size_t max_idempotency_key_bytes = 128;

//! Checks that the presented bearer key belongs to the organisation. Unknown
//! organisations and wrong keys give the same error, so that the names of
//! organisations cannot be probed.
error check_organisation(fleet_settings const& settings,
                         std::string_view organisation,
                         std::string_view key_sha256);

//! Runs all checks of a request that depend only on the settings.
error check_request(fleet_settings const& settings, caller_request const& call);

} // namespace buckthornvale::decision::requests

#endif
