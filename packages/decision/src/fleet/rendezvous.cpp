#include <buckthornvale/decision/fleet/rendezvous.hpp>

#include <xxhash.h>

namespace buckthornvale::decision::fleet
{

std::uint64_t rendezvous_weight(std::string_view key, vm_id vm)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), vm.value);
}

std::optional<vm_id> rendezvous_owner(std::string_view key,
                                      absl::Span<vm_id const> vms)
{
    std::optional<vm_id> owner;
    std::uint64_t most = 0;
    for (auto it : vms)
    {
        auto const weight = rendezvous_weight(key, it);
        if (owner && (weight < most || (weight == most && *owner < it)))
            continue;
        owner = it;
        most = weight;
    }
    return owner;
}

} // namespace buckthornvale::decision::fleet
