#ifndef BUCKTHORNVALE_PEER_SRC_LINK_CONNECTION_TABLE_HPP
#define BUCKTHORNVALE_PEER_SRC_LINK_CONNECTION_TABLE_HPP

#include "link_transport.hpp"
#include <buckthornvale/decision/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace buckthornvale::peer::detail
{

//! State of one connection.
struct connection_state
{
    std::optional<decision::vm_id> expected; //!< outgoing: the dialled VM
    std::optional<decision::vm_id> vm;       //!< after its hello
    bool outgoing = false;
    std::chrono::steady_clock::time_point opened{};
};

//! All connections, from the dial or the acceptance until their end.
class connection_table
{
public:
    //! State of a connection, which is added if it is unknown.
    connection_state& add(handle const& id) { return states_[id]; }
    //! Null for an unknown connection.
    connection_state* find(handle const& id);
    connection_state const* find(handle const& id) const;
    //! Removes a connection and returns its last state.
    std::optional<connection_state> take(handle const& id);

    std::size_t size() const { return states_.size(); }
    std::vector<handle> ids() const;
    //! Connections that were opened more than `limit` ago and had no hello.
    std::vector<handle> without_hello(std::chrono::steady_clock::time_point now,
                                      std::chrono::milliseconds limit) const;

private:
    std::map<handle, connection_state, handle_order> states_;
};

} // namespace buckthornvale::peer::detail

#endif
