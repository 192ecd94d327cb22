#ifndef BUCKTHORNVALE_SETTINGS_FLEET_REFERENCE_CHECK_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_REFERENCE_CHECK_HPP

#include <buckthornvale/settings/fleet/object.hpp>

#include <string>

namespace buckthornvale::settings
{

//! Builds a problem found when objects are checked against each other, with
//! the default remedy of its kind.
problem make_problem(problem_kind kind, object_path const& path,
                     std::string key, std::string message,
                     std::string blocked_by);

//! Checks that a pool meets the requirements of a reference from the object
//! at `path`.
void check_pool_reference(object_path const& path, reference const& needed,
                          decision::pool_settings const& pool,
                          problem_list& problems);

} // namespace buckthornvale::settings

#endif
