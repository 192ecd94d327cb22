#ifndef BUCKTHORNVALE_SETTINGS_FLEET_SETTINGS_SET_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_SETTINGS_SET_HPP

#include <buckthornvale/settings/fleet/object.hpp>
#include <buckthornvale/settings/fleet/settings_index.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::settings
{

//! Unparsed settings object with its path and version in the store.
struct object_text
{
    std::string path;
    std::uint64_t version = 0;
    std::string value;
};

//! Effect of a change on the settings in force.
struct change_result
{
    //! Objects whose value in force changed, in the order of the changes: the
    //! given object and those whose pending changes it unblocked.
    std::vector<object_path> changed;
    problem_list problems; //!< errors of the given object, if it is rejected
    //! The version is not newer than the latest one seen.
    bool is_stale = false;
};

//! Holds the fleet settings in force and applies changes object by object. An
//! invalid value never replaces a valid one: it stays pending and is applied
//! when a later change of another object makes it valid. A change is checked
//! only against the changed object and its direct references, whatever the
//! size of the fleet. Not thread-safe.
class settings_set
{
public:
    using hash_function = settings_index::hash_function;

    //! The hash function can be replaced so that tests can force collisions.
    explicit settings_set(hash_function hash = &decision::stable_hash);

    //! Sets a new value. A version that is not newer than the latest one seen
    //! for the path is ignored as stale.
    change_result put(std::string_view path, std::uint64_t version,
                      std::string_view toml_text);

    //! Removes an object; `version` is that of the deletion. The object stays
    //! in force while another object refers to it. `settings/ranks` cannot be
    //! removed.
    change_result erase(std::string_view path, std::uint64_t version);

    //! Replaces all objects by a complete listing made at `revision`. Objects
    //! that are not listed are removed. The order of the list does not matter.
    change_result replace_all(absl::Span<object_text const> objects,
                              std::uint64_t revision);

    //! Returns all settings in force. Their `revision` is the highest version
    //! applied.
    decision::fleet_settings const& in_force() const { return settings_; }

    //! Returns true once `settings/ranks`, the only required object, is in
    //! force.
    bool is_complete() const { return has_ranks_; }

    //! Returns the version of an object that is in force, or 0 if none is.
    std::uint64_t version_of(object_path const& path) const;

    //! Returns the problems of all pending changes.
    problem_list pending_problems() const;

private:
    struct pending_change
    {
        std::uint64_t version = 0;
        std::optional<settings_object> object; //!< empty for a removal or an
                                               //!< invalid object
        bool is_removal = false;
        problem_list problems;
    };
    struct path_versions
    {
        std::uint64_t latest = 0;   //!< highest seen, also of rejected values
        std::uint64_t in_force = 0; //!< 0: no value in force
    };

    bool is_stale(std::string const& path, std::uint64_t version);
    void apply_or_defer(std::string const& path, pending_change change,
                        change_result& result);
    void retry_blocked(object_path const& changed, change_result& result);
    void add_pending(std::string const& path, pending_change change);
    void remove_pending(std::string const& path);
    bool try_apply(pending_change const& change, object_path const& path,
                   problem_list& problems);
    void check_references(settings_object const&, problem_list&) const;
    void check_reference(settings_object const&, reference const&,
                         problem_list&) const;
    void remove(object_path const&);
    void store(settings_object const&);
    void store_value(settings_object const&);
    void erase_value(object_path const&);
    bool exists(object_path const&) const;
    std::vector<object_path> paths_in_force() const;

    decision::fleet_settings settings_;
    bool has_ranks_ = false;
    bool has_fleet_ = false;
    settings_index index_;
    //! By the hash of the path. Removed and rejected objects are included, so
    //! that stale versions of them are recognised.
    absl::flat_hash_map<std::uint64_t, path_versions> versions_;
    std::map<std::string, pending_change> pending_;
    //! Paths of pending changes, by the path of the object that blocks them.
    std::map<std::string, std::set<std::string>> blocked_paths_;
};

} // namespace buckthornvale::settings

#endif
