#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/settings/fleet/object_path.hpp>
#include <buckthornvale/settings/schema/key.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace buckthornvale::settings
{

namespace
{

struct path_pattern
{
    object_kind kind;
    std::string_view prefix;
    std::string_view suffix;
    bool has_name;
};

constexpr path_pattern path_patterns[] = {
    {object_kind::ranks, "settings/ranks", "", false},
    {object_kind::fleet, "settings/fleet", "", false},
    {object_kind::pool, "settings/pools/", "", true},
    {object_kind::pipeline, "settings/pipelines/", "", true},
    {object_kind::organisation, "settings/organisations/", "/limits", true},
};

std::optional<object_path> match_pattern(path_pattern const& pattern,
                                         std::string_view path)
{
    if (!pattern.has_name)
    {
        return path == pattern.prefix
                   ? std::optional(object_path{pattern.kind, ""})
                   : std::nullopt;
    }
    auto const fixed_size = pattern.prefix.size() + pattern.suffix.size();
    if (path.size() <= fixed_size ||
        !absl::StartsWith(decision::as_absl(path),
                          decision::as_absl(pattern.prefix)) ||
        !absl::EndsWith(decision::as_absl(path),
                        decision::as_absl(pattern.suffix)))
        return std::nullopt;
    auto const name =
        path.substr(pattern.prefix.size(), path.size() - fixed_size);
    if (!matches_format(name, text_format::name))
        return std::nullopt;
    return object_path{pattern.kind, std::string(name)};
}

} // namespace

std::string to_text(object_path const& value)
{
    auto const& pattern = path_patterns[static_cast<std::size_t>(value.kind)];
    return absl::StrCat(decision::as_absl(pattern.prefix), value.name,
                        decision::as_absl(pattern.suffix));
}

std::optional<object_path> parse_object_path(std::string_view path)
{
    for (auto const& it : path_patterns)
    {
        if (auto found = match_pattern(it, path))
            return found;
    }
    return std::nullopt;
}

} // namespace buckthornvale::settings
