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

//! Names one store call; its answer carries the same token.
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

//! Peer message: all changes up to the revision are in force at the sender.
struct settings_have
{
    std::uint64_t revision = 0;
    bool complete = false; //!< false before the sender has any settings
};

//! Peer message: asks for the changes after a revision.
struct settings_pull
{
    std::uint64_t from = 0;
    //! Deletes after this revision are needed. Equal to `from`, but on later
    //! pages of a whole copy: the sender's revision on its first page.
    std::uint64_t base = 0;
};

//! Peer message: all changes in (from, up_to], ordered by version.
struct settings_push
{
    std::uint64_t from = 0;
    std::uint64_t up_to = 0;
    std::uint64_t revision = 0; //!< of the sender; more pages when above up_to
    //! The sender forgot deletes after the asked revision; the receiver has to
    //! ask from 0 and drop what the copy does not have.
    bool restart = false;
    std::vector<settings_object> objects;
};

//! Ask the store for one page of the list.
struct list_objects
{
    call_token token = 0;
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

//! Wait for changes after a revision.
struct watch_objects
{
    call_token token = 0;
    std::string prefix;
    std::uint64_t from = 0;
    duration timeout{};
};

//! Tell all linked peers the revision in force.
struct announce_settings
{
    settings_have message;
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

//! The settings in force changed at these paths.
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
