#include "peer_table.hpp"

#include <algorithm>
#include <utility>

namespace buckthornvale::peer::detail
{

std::vector<handle> peer_table::replace(absl::Span<peer_address const> peers)
{
    absl::flat_hash_map<decision::vm_id, peer_state> kept;
    for (auto const& it : peers)
    {
        auto const held = peers_.find(it.vm);
        if (held == peers_.end())
        {
            kept[it.vm].address = it;
            continue;
        }
        auto& state = kept[it.vm];
        state = std::move(held->second);
        // A link that leaves the topology ends like one opened on demand.
        if (state.address.link && !it.link)
            state.extra = true;
        state.address = it;
        if (it.link)
            state.extra = false;
        peers_.erase(held);
    }
    auto const gone = std::exchange(peers_, std::move(kept));
    std::vector<handle> ended;
    for (auto const& it : gone)
    {
        for (auto const& id : {it.second.open, it.second.dialing})
        {
            if (id)
                ended.push_back(*id);
        }
    }
    return ended;
}

peer_state* peer_table::find(decision::vm_id vm)
{
    auto const it = peers_.find(vm);
    return it == peers_.end() ? nullptr : &it->second;
}

std::size_t peer_table::extra_links() const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [](auto const& it)
                                                  { return it.second.extra; }));
}

} // namespace buckthornvale::peer::detail
