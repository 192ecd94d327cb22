#ifndef BUCKTHORNVALE_CTL_STORE_HISTORY_HPP
#define BUCKTHORNVALE_CTL_STORE_HISTORY_HPP

#include <buckthornvale/objects/objects/object_api.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::ctl
{

//! A recorded value of a settings object.
struct history_entry
{
    std::uint64_t version = 0;
    std::int64_t at_ms = 0; //!< Unix time; 0 if unknown
    std::string author;
    std::string text;
    bool is_removal = false;
};

//! History of a settings object, stored as JSON in the object `history/<path>`.
//! That is outside `settings/`, so that VMs that watch the settings do not
//! receive it. The number of entries and their size are bounded; the oldest
//! entries are dropped first.
struct history
{
    objects::call_status status = objects::call_status::unknown;
    std::uint64_t object_version = 0;
    std::vector<history_entry> entries; //!< oldest first

    history_entry const* find(std::uint64_t version) const;
};

//! Reads a history. A missing object yields an empty history with the status
//! done.
history read_history(objects::object_api& store, std::string const& path);

//! Appends an entry with conditional writes; false if all attempts fail.
bool append_history(objects::object_api& store, std::string const& path,
                    history_entry const& entry);

} // namespace buckthornvale::ctl

#endif
