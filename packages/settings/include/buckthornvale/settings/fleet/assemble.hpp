#ifndef BUCKTHORNVALE_SETTINGS_FLEET_ASSEMBLE_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_ASSEMBLE_HPP

#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <optional>

namespace buckthornvale::settings
{

//! Either all settings or the problems for which they are refused.
struct assemble_result
{
    std::optional<decision::fleet_settings> settings;
    problem_list problems;
};

//! Checks a whole set of objects together, in any order. A version of 0
//! counts as 1, so that files without versions can be checked.
assemble_result assemble(absl::Span<object_text const> objects);

} // namespace buckthornvale::settings

#endif
