#ifndef BUCKTHORNVALE_SETTINGS_FLEET_OBJECT_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_OBJECT_HPP

#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/settings/fleet/object_path.hpp>
#include <buckthornvale/settings/schema/problem.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornvale::settings
{

//! Typed value of a settings object, in the order of object_kind.
using object_value =
    std::variant<decision::rank_table, decision::fleet_parameters,
                 decision::pool_settings, decision::pipeline_settings,
                 decision::organisation_settings>;

//! Reference from one object to another, with the requirements on the target.
struct reference
{
    object_path target;
    std::string model; //!< model that the target pool must offer, or empty
    bool needs_engine = false; //!< the target pool must consist of engines
    std::uint32_t line = 0;
    std::string key;
};

//! A settings object that is valid by itself; its references are unchecked.
struct settings_object
{
    object_path path;
    object_value value;
    std::vector<reference> references;
};

//! Holds either an object or the problems for which it is rejected.
struct parse_result
{
    std::optional<settings_object> object;
    problem_list problems;
};

//! Parses and validates one object by itself. settings_set checks the
//! references to other objects.
parse_result parse_object(std::string_view path, std::string_view toml_text);

} // namespace buckthornvale::settings

#endif
