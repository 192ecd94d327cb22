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

//! An object of the store as text.
struct object_text
{
    std::string path;
    std::uint64_t version = 0;
    std::string value;
};

//! Effect of one change on the settings in force.
struct change_result
{
    //! Objects whose value in force changed, in the order of the changes: the
    //! given one, and those that were held back because of it.
    std::vector<object_path> changed;
    problem_list problems; //!< why the given object is refused, if it is
    bool is_stale = false; //!< the version was not above the known one
};

//! The fleet settings in force, changed object by object. An invalid value
//! never replaces a valid one: it is held back, and taken when a later
//! change of another object makes it valid. A change costs what the changed
//! object and its direct references cost. Not thread-safe.
class settings_set
{
public:
    using hash_function = settings_index::hash_function;

    //! Tests pass a weak hash to get collisions.
    explicit settings_set(hash_function hash = &decision::stable_hash);

    //! Puts a new value; versions of one path must rise.
    change_result put(std::string_view path, std::uint64_t version,
                      std::string_view toml_text);

    //! Removes an object at the version of the deletion. It stays in force
    //! while another object refers to it. `settings/ranks` cannot be removed.
    change_result erase(std::string_view path, std::uint64_t version);

    //! Replaces all, as after a complete list at `revision`: objects that are
    //! not listed are removed. Order within the list does not matter.
    change_result replace_all(absl::Span<object_text const> objects,
                              std::uint64_t revision);

    //! All settings in force; `revision` is the highest version included.
    decision::fleet_settings const& in_force() const { return settings_; }

    //! True once `settings/ranks` is in force.
    bool is_complete() const { return has_ranks_; }

    //! Version in force of one object; 0 when there is none.
    std::uint64_t version_of(object_path const& path) const;

    //! Problems of all objects that are held back.
    problem_list pending_problems() const;

private:
    struct pending_change
    {
        std::uint64_t version = 0;
        std::optional<settings_object> object; //!< empty: removal or malformed
        bool is_removal = false;
        problem_list problems;
    };
    //! Versions of one path.
    struct path_versions
    {
        std::uint64_t latest = 0;   //!< also of values that were refused
        std::uint64_t in_force = 0; //!< 0: not in force
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
    //! By the hash of the path, also of removed and refused ones.
    absl::flat_hash_map<std::uint64_t, path_versions> versions_;
    std::map<std::string, pending_change> pending_;
    std::map<std::string, std::set<std::string>> blocked_paths_; //!< by path
};

} // namespace buckthornvale::settings

#endif
