#ifndef BUCKTHORNVALE_SETTINGS_FLEET_OBJECT_PATH_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_OBJECT_PATH_HPP

#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::settings
{

//! Kinds of settings objects, in the order in which a complete set is
//! applied: a referenced object comes before the objects that refer to it.
enum class object_kind
{
    ranks,
    fleet,
    pool,
    pipeline,
    organisation
};

//! Parsed path of a settings object in the object API.
struct object_path
{
    object_kind kind = object_kind::ranks;
    //! Name of the pool, pipeline or organisation; otherwise empty.
    std::string name;

    friend bool operator==(object_path const& a, object_path const& b)
    {
        return a.kind == b.kind && a.name == b.name;
    }
    friend bool operator<(object_path const& a, object_path const& b)
    {
        return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
    }
};

//! Formats a path, such as `settings/organisations/<name>/limits`.
std::string to_text(object_path const& value);

//! Parses a path. Returns nothing if it is not that of a settings object.
std::optional<object_path> parse_object_path(std::string_view path);

} // namespace buckthornvale::settings

#endif
