#ifndef BUCKTHORNVALE_DECISION_FLEET_RENDEZVOUS_HPP
#define BUCKTHORNVALE_DECISION_FLEET_RENDEZVOUS_HPP

#include <buckthornvale/decision/core/ids.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthornvale::decision::fleet
{

//! Rendezvous hashing weight of a VM for a key (xxHash3), the same on every VM.
//! The VM with the highest weight owns the key, so when a VM leaves, only its
//! own keys move.
std::uint64_t rendezvous_weight(std::string_view key, vm_id vm);

//! The VM with the highest weight; nullopt when there are no VMs.
std::optional<vm_id> rendezvous_owner(std::string_view key,
                                      absl::Span<vm_id const> vms);

} // namespace buckthornvale::decision::fleet

#endif
