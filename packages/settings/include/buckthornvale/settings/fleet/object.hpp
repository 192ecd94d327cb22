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

//! Typed value of one settings object; the order is that of object_kind.
using object_value =
    std::variant<decision::rank_table, decision::fleet_knobs,
                 decision::pool_settings, decision::pipeline_settings,
                 decision::organisation_settings>;

//! What one object names in another object.
struct reference
{
    object_path target;
    std::string model; //!< model that the target pool must list, or empty
    bool needs_engine = false; //!< the target pool must consist of engines
    std::uint32_t line = 0;
    std::string key;
};

//! A settings object that is valid when seen alone.
struct settings_object
{
    object_path path;
    object_value value;
    std::vector<reference> references;
};

//! Either an object or the problems for which it is refused.
struct parse_result
{
    std::optional<settings_object> object;
    problem_list problems;
};

//! Parses and checks one object alone. References to other objects are
//! checked by settings_set.
parse_result parse_object(std::string_view path, std::string_view toml_text);

} // namespace buckthornvale::settings

#endif
