#include <buckthornvale/ctl/cli/json_text.hpp>
#include <buckthornvale/ctl/store/change_plan.hpp>
#include <buckthornvale/ctl/store/settings_files.hpp>
#include <buckthornvale/ctl/store/text_diff.hpp>
#include <buckthornvale/settings/fleet/assemble.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <tuple>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;
using objects_t = std::map<std::string, objects::object>;
using files_t = std::vector<settings_file>;

constexpr std::size_t page_limit = 500;
constexpr char const* settings_prefix = "settings/";

settings::problem_list problems_of(objects_t const& objects)
{
    std::vector<settings::object_text> texts;
    for (auto const& [path, it] : objects)
        texts.push_back({path, it.version, it.value});
    return settings::assemble(texts).problems;
}

auto identity_of(settings::problem const& it)
{
    return std::tie(it.kind, it.path, it.key, it.message);
}

// Returns the problems that the change causes. Problems that the store already
// has do not block an unrelated change.
settings::problem_list new_problems(objects_t const& before,
                                    objects_t const& after)
{
    auto const known = problems_of(before);
    auto found = problems_of(after);
    auto const is_known = [&](settings::problem const& it)
    {
        return std::any_of(known.begin(), known.end(),
                           [&](auto const& old)
                           { return identity_of(old) == identity_of(it); });
    };
    found.erase(std::remove_if(found.begin(), found.end(), is_known),
                found.end());
    return found;
}

// Replaces object paths by file names and adjusts the line numbers.
void replace_paths_by_files(settings::problem_list& problems,
                            files_t const& files)
{
    for (auto& it : problems)
    {
        for (auto const& file : files)
        {
            if (file.path != it.path)
                continue;
            it.path = file.file;
            it.line += it.line > 0 ? file.skipped_lines : 0;
            break;
        }
    }
}

planned_change plan_change(settings_file const& file, objects_t const& stored)
{
    planned_change change;
    change.path = file.path;
    change.file = file.file;
    change.new_text = file.text;
    auto const found = stored.find(file.path);
    if (found != stored.end())
        change.stored = found->second;
    change.expected_version =
        file.base_version > 0 ? file.base_version : change.stored.version;
    return change;
}

// Appends removals after all writes, referring objects before referenced ones.
void append_removals(change_plan& plan, files_t const& files,
                     objects_t const& stored)
{
    std::set<std::string_view> paths_with_file;
    for (auto const& it : files)
        paths_with_file.insert(it.path);
    std::vector<planned_change> removals;
    for (auto const& [path, object] : stored)
    {
        if (paths_with_file.count(path) > 0)
            continue;
        planned_change change;
        change.path = path;
        change.expected_version = object.version;
        change.stored = object;
        change.is_removal = true;
        removals.push_back(std::move(change));
    }
    std::stable_sort(removals.begin(), removals.end(),
                     [](auto const& a, auto const& b)
                     {
                         return settings::parse_object_path(b.path) <
                                settings::parse_object_path(a.path);
                     });
    plan.changes.insert(plan.changes.end(), removals.begin(), removals.end());
}

bool check_files(context& ctx, std::optional<files_t> const& files,
                 std::string const& from)
{
    if (!files || files->empty())
    {
        ctx.err << from
                << ": no settings files can be read there; name a "
                   "folder with .toml files or one file\n";
        return false;
    }
    for (auto const& it : *files)
    {
        if (!it.path.empty())
            continue;
        ctx.err << it.file
                << ": the file is not below a folder `settings`, "
                   "so it has no object path; move it\n";
        return false;
    }
    return true;
}

} // namespace

change_plan make_plan(context& ctx, std::string const& from)
{
    change_plan plan;
    auto const files = read_settings(from);
    if (!check_files(ctx, files, from))
    {
        plan.status = exit_code::usage;
        return plan;
    }
    auto const listed =
        objects::list_all(ctx.store, settings_prefix, page_limit);
    if (!listed.is_done())
    {
        ctx.err << "the platform's store did not list the settings ("
                << name_of(listed.status) << ", " << listed.detail
                << "); nothing was changed, try again later\n";
        plan.status = exit_code::unavailable;
        return plan;
    }
    objects_t stored;
    for (auto const& it : listed.value.items)
        stored[it.path] = it;
    auto after = stored;
    for (auto const& it : *files)
    {
        auto change = plan_change(it, stored);
        if (change.stored.version > 0 && change.stored.value == it.text)
        {
            ++plan.unchanged;
            continue;
        }
        after[it.path] = {it.path, change.stored.version, it.text};
        plan.changes.push_back(std::move(change));
    }
    std::stable_sort(plan.changes.begin(), plan.changes.end(),
                     [](auto const& a, auto const& b)
                     {
                         return settings::parse_object_path(a.path) <
                                settings::parse_object_path(b.path);
                     });
    if (ctx.flags.prunes)
    {
        append_removals(plan, *files, stored);
        for (auto const& it : plan.changes)
        {
            if (it.is_removal)
                after.erase(it.path);
        }
    }
    plan.problems = new_problems(stored, after);
    replace_paths_by_files(plan.problems, *files);
    if (!plan.problems.empty())
        plan.status = exit_code::invalid;
    return plan;
}

std::string diff_of(planned_change const& change)
{
    auto const before =
        change.stored.version == 0
            ? std::string("(none)")
            : absl::StrCat(change.path, " version ", change.stored.version);
    return unified_diff(change.stored.value, change.new_text, before,
                        change.is_removal ? "(removed)" : change.file);
}

void print_problems(context& ctx, settings::problem_list const& problems)
{
    if (!ctx.flags.is_json)
    {
        for (auto const& it : problems)
            ctx.err << to_text(it) << '\n';
        return;
    }
    json list = json::array();
    for (auto const& it : problems)
    {
        list.push_back({{"kind", traits_of(it.kind).name},
                        {"path", it.path},
                        {"line", it.line},
                        {"key", it.key},
                        {"message", it.message},
                        {"remedy", it.remedy}});
    }
    ctx.out << json_text(json{{"problems", list}});
}

} // namespace buckthornvale::ctl
