#ifndef BUCKTHORNVALE_CTL_STORE_HISTORY_HPP
#define BUCKTHORNVALE_CTL_STORE_HISTORY_HPP

#include <buckthornvale/objects/objects/object_api.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::ctl
{

//! One earlier value of a settings object.
struct history_entry
{
    std::uint64_t version = 0;
    std::int64_t at_ms = 0; //!< UTC, since 1970
    std::string author;
    std::string text;
    bool is_removal = false;
};

//! Histories are objects `history/<path>`, outside `settings/` so that the
//! VMs' watch does not carry them. They hold JSON and are bounded in entries
//! and bytes; the oldest entries go first.
struct history
{
    objects::call_status status = objects::call_status::unknown;
    std::uint64_t object_version = 0;
    std::vector<history_entry> entries; //!< oldest first

    history_entry const* find(std::uint64_t version) const;
};

//! A missing history object is an empty history with the status done.
history read_history(objects::object_api& store, std::string const& path);

//! Adds an entry by conditional updates; false when that failed.
bool append_history(objects::object_api& store, std::string const& path,
                    history_entry const& entry);

} // namespace buckthornvale::ctl

#endif
