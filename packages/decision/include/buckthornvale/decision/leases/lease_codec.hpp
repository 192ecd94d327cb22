#ifndef BUCKTHORNVALE_DECISION_LEASES_LEASE_CODEC_HPP
#define BUCKTHORNVALE_DECISION_LEASES_LEASE_CODEC_HPP

#include <buckthornvale/decision/leases/lease_effects.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::decision::leases
{

//! Encodes a lease object as JSON.
std::string encode(lease_value const& value);

//! Parses a lease object; returns nullopt when the text is not valid.
std::optional<lease_value> decode_lease(std::string_view text);

} // namespace buckthornvale::decision::leases

#endif
