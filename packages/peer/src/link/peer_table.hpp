#ifndef BUCKTHORNVALE_PEER_SRC_LINK_PEER_TABLE_HPP
#define BUCKTHORNVALE_PEER_SRC_LINK_PEER_TABLE_HPP

#include "link_transport.hpp"
#include <buckthornvale/decision/fleet/member.hpp>
#include <buckthornvale/peer/link/peer_link.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::peer::detail
{

//! State of one VM that may be reached.
struct peer_state
{
    peer_address address;
    std::optional<handle> open;    //!< after the peer's hello
    std::optional<handle> dialing; //!< outgoing, before the hello
    std::deque<std::string> waiting;
    std::size_t waiting_bytes = 0;
    bool extra = false; //!< opened on demand
    bool leaving = false;
    std::uint64_t incarnation = 0;
    int failures = 0;
    std::chrono::steady_clock::time_point next_dial{};
    std::chrono::steady_clock::time_point used{};
};

//! All VMs that may be reached.
class peer_table
{
public:
    //! Takes over a new list. Returns the connections of VMs that are no longer
    //! listed; the caller closes them.
    std::vector<handle> replace(absl::Span<peer_address const> peers);
    //! Null for a VM that is not listed.
    peer_state* find(decision::vm_id vm);
    //! Links that are opened on demand now.
    std::size_t extra_links() const;

    auto begin() { return peers_.begin(); }
    auto end() { return peers_.end(); }

private:
    absl::flat_hash_map<decision::vm_id, peer_state> peers_;
};

} // namespace buckthornvale::peer::detail

#endif
