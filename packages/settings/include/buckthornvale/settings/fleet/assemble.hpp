#ifndef BUCKTHORNVALE_SETTINGS_FLEET_ASSEMBLE_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_ASSEMBLE_HPP

#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <optional>

namespace buckthornvale::settings
{

//! Holds either the fleet settings or the problems for which the objects are
//! rejected.
struct assemble_result
{
    std::optional<decision::fleet_settings> settings;
    problem_list problems;
};

//! Validates a complete set of objects, given in any order, and builds the
//! fleet settings from them. Version 0 is treated as 1, so that files, which
//! have no version, can be validated too.
assemble_result assemble(absl::Span<object_text const> objects);

} // namespace buckthornvale::settings

#endif
