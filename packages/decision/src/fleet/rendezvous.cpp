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
    std::uint64_t max_weight = 0;
    for (auto it : vms)
    {
        auto const weight = rendezvous_weight(key, it);
        if (owner &&
            (weight < max_weight || (weight == max_weight && *owner < it)))
            continue;
        owner = it;
        max_weight = weight;
    }
    return owner;
}

} // namespace buckthornvale::decision::fleet
