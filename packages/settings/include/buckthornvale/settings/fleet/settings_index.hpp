#ifndef BUCKTHORNVALE_SETTINGS_FLEET_SETTINGS_INDEX_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_SETTINGS_INDEX_HPP

#include <buckthornvale/settings/fleet/object.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::settings
{

//! Indexes the ids and references of the settings in force, so that a changed
//! object is checked against its direct references only. Little is stored per
//! organisation, because a fleet may have 48,000 of them.
class settings_index
{
public:
    using hash_function = std::uint64_t (*)(std::string_view);

    explicit settings_index(hash_function hash);

    // The index stores pointers to names in the settings. A move leaves the
    // names at their addresses; a copy would point into the original settings.
    settings_index(settings_index const&) = delete;
    settings_index& operator=(settings_index const&) = delete;
    settings_index(settings_index&&) = default;
    settings_index& operator=(settings_index&&) = default;
    ~settings_index() = default;

    //! Adds an object whose value is already in `settings`.
    void add(settings_object const& object,
             decision::fleet_settings const& settings);

    //! Removes an object whose value is still in `settings`.
    void remove(object_path const& path,
                decision::fleet_settings const& settings);

    //! Checks the ids of the object for collisions and, for a pool, that it
    //! still meets the requirements of the pipelines that use it.
    void check_change(settings_object const& object,
                      problem_list& problems) const;

    //! Checks that no other object refers to the object.
    void check_removal(object_path const& path,
                       decision::fleet_settings const& settings,
                       problem_list& problems) const;

private:
    struct runner_entry
    {
        std::string name;
        std::string pool;
    };

    static constexpr std::size_t object_kind_count = 5;

    void check_pool_change(settings_object const&, problem_list&) const;
    void check_ids(settings_object const&, problem_list&) const;
    void check_runner_ids(decision::pool_settings const&, object_path const&,
                          problem_list&) const;
    void add_ids(object_path const&, decision::fleet_settings const&);

    hash_function hash_;
    //! Names by id, for each object kind. The pointers refer to the keys of
    //! the maps in the settings.
    std::array<absl::flat_hash_map<std::uint64_t, std::string const*>,
               object_kind_count>
        names_by_id_;
    std::map<std::uint64_t, runner_entry> runners_by_id_;
    std::map<std::string, std::vector<reference>> pipeline_references_;
    std::map<std::string, std::set<std::string>> pipelines_by_pool_;
    //! Number of referring organisations, by pipeline.
    std::map<std::string, std::size_t> organisation_counts_;
};

} // namespace buckthornvale::settings

#endif
