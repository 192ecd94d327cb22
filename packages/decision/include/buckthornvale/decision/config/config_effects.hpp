#ifndef BUCKTHORNVALE_DECISION_CONFIG_CONFIG_EFFECTS_HPP
#define BUCKTHORNVALE_DECISION_CONFIG_CONFIG_EFFECTS_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace buckthornvale::decision::config
{

//! Identifies one store call; its answer carries the same token.
using call_token = std::uint64_t;

//! One settings object with the store's version of its last change.
struct settings_object
{
    std::string path;
    std::uint64_t version = 0;
    bool deleted = false; //!< tombstone; the value is empty
    std::string value;
};

//! Answer to `list_objects`.
struct list_answer
{
    call_token token = 0;
    std::vector<settings_object> items;
    std::string next; //!< `after` of the next page; empty on the last one
    std::uint64_t revision = 0;
};

//! Answer to `watch_objects`; empty after a timeout without changes.
struct watch_answer
{
    call_token token = 0;
    std::vector<settings_object> events; //!< in the order of their versions
    std::uint64_t revision = 0;
};

//! Peer message: the sender has applied all changes up to the revision.
struct revision_announcement
{
    std::uint64_t revision = 0;
    bool complete = false; //!< false before the sender has any settings
};

//! Peer message: asks for the changes after a revision.
struct settings_pull
{
    std::uint64_t from = 0;
    //! Deletes after this revision are needed. Equal to `from`, except on later
    //! pages of a full copy, where it is the sender's revision at the first
    //! page.
    std::uint64_t base = 0;
};

//! Peer message: all changes in (from, up_to], ordered by version.
struct settings_push
{
    std::uint64_t from = 0;
    std::uint64_t up_to = 0;
    //! Of the sender; above `up_to` more pages follow.
    std::uint64_t revision = 0;
    //! The sender no longer has all tombstones after the requested revision;
    //! the receiver must pull a full copy from 0 and delete what it does not
    //! contain.
    bool restart = false;
    std::vector<settings_object> objects;
};

//! Requests one page of the object list from the store.
struct list_objects
{
    call_token token = 0;
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

//! Waits in the store for changes after a revision.
struct watch_objects
{
    call_token token = 0;
    std::string prefix;
    std::uint64_t from = 0;
    duration timeout{};
};

//! Announces the applied revision to all linked peers.
struct announce_settings
{
    revision_announcement message;
};

struct pull_settings
{
    vm_id to;
    settings_pull message;
};

struct push_settings
{
    vm_id to;
    settings_push message;
};

//! Reports the paths whose settings changed.
struct settings_changed
{
    std::vector<std::string> paths;
    std::uint64_t revision = 0;
};

using config_effect =
    std::variant<list_objects, watch_objects, announce_settings, pull_settings,
                 push_settings, settings_changed>;

using config_effects = std::vector<config_effect>;

} // namespace buckthornvale::decision::config

#endif
