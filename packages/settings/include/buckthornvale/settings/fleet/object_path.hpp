#ifndef BUCKTHORNVALE_SETTINGS_FLEET_OBJECT_PATH_HPP
#define BUCKTHORNVALE_SETTINGS_FLEET_OBJECT_PATH_HPP

#include <optional>
#include <string>
#include <string_view>

namespace buckthornvale::settings
{

//! Kinds of settings objects, in the order in which a whole set is applied:
//! what is referenced comes before what refers to it.
enum class object_kind
{
    ranks,
    fleet,
    pool,
    pipeline,
    organisation
};

//! A path of the object API that holds settings.
struct object_path
{
    object_kind kind = object_kind::ranks;
    std::string name; //!< pool, pipeline or organisation; else empty

    friend bool operator==(object_path const& a, object_path const& b)
    {
        return a.kind == b.kind && a.name == b.name;
    }
    friend bool operator<(object_path const& a, object_path const& b)
    {
        return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
    }
};

//! Path such as `settings/organisations/<name>/limits`.
std::string to_text(object_path const& value);

//! Returns nothing for a path that holds no settings.
std::optional<object_path> parse_object_path(std::string_view path);

} // namespace buckthornvale::settings

#endif
