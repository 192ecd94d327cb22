#include <buckthornvale/settings/fleet/assemble.hpp>

#include <algorithm>

namespace buckthornvale::settings
{

assemble_result assemble(absl::Span<object_text const> objects)
{
    std::vector<object_text> versioned(objects.begin(), objects.end());
    std::uint64_t revision = 1;
    assemble_result result;
    for (auto& it : versioned)
    {
        it.version = std::max<std::uint64_t>(it.version, 1);
        revision = std::max(revision, it.version);
        // settings_set does not keep objects with an unknown path as pending,
        // so their problems are collected here.
        if (!parse_object_path(it.path))
            result.problems = parse_object(it.path, it.value).problems;
    }
    settings_set set;
    auto const change = set.replace_all(versioned, revision);
    result.problems.insert(result.problems.end(), change.problems.begin(),
                           change.problems.end());
    if (!set.is_complete() && set.pending_problems().empty())
    {
        problem missing;
        missing.kind = problem_kind::missing_object;
        missing.path = to_text(object_path{});
        missing.message = "the ranks are missing";
        missing.remedy = std::string(traits_of(missing.kind).remedy);
        result.problems.push_back(std::move(missing));
    }
    if (result.problems.empty())
        result.settings = set.in_force();
    return result;
}

} // namespace buckthornvale::settings
