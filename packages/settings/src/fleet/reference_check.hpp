#ifndef BUCKTHORNVALE_SETTINGS_FLEET_REFERENCE_CHECK_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_REFERENCE_CHECK_HPP

#include <buckthornvale/settings/fleet/object.hpp>

#include <string>

namespace buckthornvale::settings
{

//! A problem between objects, with the remedy of its kind.
problem make_problem(problem_kind kind, object_path const& path,
                     std::string key, std::string message,
                     std::string blocked_by);

//! Checks what the object at `path` needs of a pool.
void check_pool_reference(object_path const& path, reference const& needed,
                          decision::pool_settings const& pool,
                          problem_list& problems);

} // namespace buckthornvale::settings

#endif
