#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/settings/fleet/object_path.hpp>
#include <buckthornvale/settings/schema/key.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace buckthornvale::settings
{

namespace
{

struct path_form
{
    object_kind kind;
    std::string_view before;
    std::string_view after;
    bool has_name;
};

constexpr path_form forms[] = {
    {object_kind::ranks, "settings/ranks", "", false},
    {object_kind::fleet, "settings/fleet", "", false},
    {object_kind::pool, "settings/pools/", "", true},
    {object_kind::pipeline, "settings/pipelines/", "", true},
    {object_kind::organisation, "settings/organisations/", "/limits", true},
};

std::optional<object_path> match(path_form const& form, std::string_view path)
{
    if (!form.has_name)
    {
        return path == form.before ? std::optional(object_path{form.kind, ""})
                                   : std::nullopt;
    }
    auto const fixed = form.before.size() + form.after.size();
    if (path.size() <= fixed ||
        !absl::StartsWith(decision::as_absl(path),
                          decision::as_absl(form.before)) ||
        !absl::EndsWith(decision::as_absl(path), decision::as_absl(form.after)))
        return std::nullopt;
    auto const name = path.substr(form.before.size(), path.size() - fixed);
    if (!has_form(name, text_form::name))
        return std::nullopt;
    return object_path{form.kind, std::string(name)};
}

} // namespace

std::string to_text(object_path const& value)
{
    auto const& form = forms[static_cast<std::size_t>(value.kind)];
    return absl::StrCat(decision::as_absl(form.before), value.name,
                        decision::as_absl(form.after));
}

std::optional<object_path> parse_object_path(std::string_view path)
{
    for (auto const& it : forms)
    {
        if (auto found = match(it, path))
            return found;
    }
    return std::nullopt;
}

} // namespace buckthornvale::settings
