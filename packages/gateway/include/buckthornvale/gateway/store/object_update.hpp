#ifndef BUCKTHORNVALE_GATEWAY_STORE_OBJECT_UPDATE_HPP
#define BUCKTHORNVALE_GATEWAY_STORE_OBJECT_UPDATE_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/platform/store_codec.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornvale::gateway::store
{

//! What the store returned of the objects of one kind.
struct object_update
{
    std::vector<platform::stored_object> objects;
    bool listed = false; //!< all objects; otherwise those that changed
    //! The first objects of a list that could not be continued. Others may be
    //! unchanged or gone.
    bool unfinished = false;
    std::uint64_t revision = 0; //!< of the store
    //! Set shortly after the store became reachable again: its last failure
    //! came later.
    std::optional<decision::time_point> failed_after;
    //! The first list since the store came back from a copy. It may show what
    //! changed before as it was when the copy was made.
    bool restored = false;
};

} // namespace buckthornvale::gateway::store

#endif
