#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/settings/schema/problem.hpp>

#include <absl/strings/str_cat.h>

namespace buckthornvale::settings
{

namespace
{

constexpr problem_traits traits_by_kind[] = {
    {problem_kind::malformed_toml, "malformed_toml",
     "correct the TOML syntax at this line"},
    {problem_kind::unknown_path, "unknown_path",
     "use one of the paths listed in docs/settings.md"},
    {problem_kind::unknown_key, "unknown_key",
     "remove the key, or correct its name as in docs/settings.md"},
    {problem_kind::missing_key, "missing_key", "add the key"},
    {problem_kind::wrong_type, "wrong_type",
     "write a value of the type in docs/settings.md"},
    {problem_kind::out_of_range, "out_of_range",
     "choose a value within the range"},
    {problem_kind::duplicate_name, "duplicate_name",
     "give each one a name of its own"},
    {problem_kind::unknown_reference, "unknown_reference",
     "create what is named, or correct the name"},
    {problem_kind::cycle, "cycle",
     "remove one of the `after` entries on the cycle"},
    {problem_kind::hash_collision, "hash_collision",
     "rename one of the two; their ids are equal"},
    {problem_kind::share_sum, "share_sum",
     "lower the guaranteed shares so that they sum to at most 1"},
    {problem_kind::inconsistent, "inconsistent",
     "change one of the keys that contradict each other"},
    {problem_kind::still_referenced, "still_referenced",
     "change the objects that name it first"},
    {problem_kind::missing_object, "missing_object", "create the object"},
};

} // namespace

problem_traits const& traits_of(problem_kind kind)
{
    return traits_by_kind[static_cast<std::size_t>(kind)];
}

absl::Span<problem_traits const> all_problem_traits()
{
    return traits_by_kind;
}

std::string to_text(problem const& value)
{
    auto text = value.path;
    if (value.line > 0)
        absl::StrAppend(&text, ":", value.line);
    if (!value.key.empty())
        absl::StrAppend(&text, ": ", value.key);
    absl::StrAppend(&text, ": ", value.message);
    if (!value.remedy.empty())
        absl::StrAppend(&text, "; ", value.remedy);
    return text;
}

} // namespace buckthornvale::settings
