#include "reference_check.hpp"
#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>

namespace buckthornvale::settings
{

settings_set::settings_set(hash_function hash) : index_(hash) {}

std::uint64_t settings_set::version_of(object_path const& path) const
{
    auto const it = versions_.find(decision::stable_hash(to_text(path)));
    return it == versions_.end() ? 0 : it->second.in_force;
}

problem_list settings_set::pending_problems() const
{
    problem_list all;
    for (auto const& [path, change] : pending_)
        all.insert(all.end(), change.problems.begin(), change.problems.end());
    return all;
}

change_result settings_set::put(std::string_view path, std::uint64_t version,
                                std::string_view toml_text)
{
    change_result result;
    std::string const name(path);
    result.is_stale = is_stale(name, version);
    if (result.is_stale)
        return result;
    auto parsed = parse_object(path, toml_text);
    pending_change change;
    change.version = version;
    change.object = std::move(parsed.object);
    change.problems = std::move(parsed.problems);
    apply_or_defer(name, std::move(change), result);
    return result;
}

change_result settings_set::erase(std::string_view path, std::uint64_t version)
{
    change_result result;
    std::string const name(path);
    result.is_stale = is_stale(name, version);
    if (result.is_stale)
        return result;
    pending_change change;
    change.version = version;
    change.is_removal = true;
    apply_or_defer(name, std::move(change), result);
    return result;
}

change_result settings_set::replace_all(absl::Span<object_text const> objects,
                                        std::uint64_t revision)
{
    std::vector<object_text const*> ordered;
    std::set<std::string_view> listed;
    for (auto const& it : objects)
    {
        ordered.push_back(&it);
        listed.insert(it.path);
    }
    // Puts referenced objects first, so that few changes become pending.
    auto const kind_of = [](object_text const* it)
    {
        auto const path = parse_object_path(it->path);
        return path ? static_cast<int>(path->kind) : -1;
    };
    std::stable_sort(ordered.begin(), ordered.end(),
                     [&](auto const* a, auto const* b)
                     { return kind_of(a) < kind_of(b); });

    change_result total;
    auto const add = [&](change_result part)
    {
        total.changed.insert(total.changed.end(), part.changed.begin(),
                             part.changed.end());
    };
    for (auto const* it : ordered)
        add(put(it->path, it->version, it->value));
    std::vector<std::string> removed;
    for (auto const& path : paths_in_force())
    {
        auto text = to_text(path);
        if (listed.count(text) == 0)
            removed.push_back(std::move(text));
    }
    // Removes referring objects before the objects they refer to.
    for (auto it = removed.rbegin(); it != removed.rend(); ++it)
        add(erase(*it, revision));
    total.problems = pending_problems();
    return total;
}

bool settings_set::is_stale(std::string const& path, std::uint64_t version)
{
    auto& latest = versions_[decision::stable_hash(path)].latest;
    if (version <= latest)
        return true;
    latest = version;
    return false;
}

void settings_set::apply_or_defer(std::string const& path,
                                  pending_change change, change_result& result)
{
    remove_pending(path);
    auto const parsed_path = parse_object_path(path);
    if (!parsed_path)
    {
        result.problems = std::move(change.problems);
        return;
    }
    if (try_apply(change, *parsed_path, change.problems))
    {
        result.changed.push_back(*parsed_path);
        retry_blocked(*parsed_path, result);
        return;
    }
    result.problems = change.problems;
    add_pending(path, std::move(change));
}

// Retries the pending changes that the changed object blocked, then those that
// the newly applied ones blocked, until no further change can be applied.
void settings_set::retry_blocked(object_path const& changed,
                                 change_result& result)
{
    std::deque<object_path> applied{changed};
    while (!applied.empty())
    {
        auto const blocked = blocked_paths_.find(to_text(applied.front()));
        applied.pop_front();
        if (blocked == blocked_paths_.end())
            continue;
        auto const dependents = blocked->second;
        for (auto const& path : dependents)
        {
            auto change = pending_.at(path);
            remove_pending(path);
            change.problems.clear();
            auto const parsed_path = parse_object_path(path);
            if (try_apply(change, *parsed_path, change.problems))
            {
                result.changed.push_back(*parsed_path);
                applied.push_back(*parsed_path);
            }
            else
            {
                add_pending(path, std::move(change));
            }
        }
    }
}

void settings_set::add_pending(std::string const& path, pending_change change)
{
    for (auto const& it : change.problems)
    {
        if (!it.blocked_by.empty())
            blocked_paths_[it.blocked_by].insert(path);
    }
    pending_[path] = std::move(change);
}

void settings_set::remove_pending(std::string const& path)
{
    auto const found = pending_.find(path);
    if (found == pending_.end())
        return;
    for (auto const& it : found->second.problems)
    {
        auto const blocked = blocked_paths_.find(it.blocked_by);
        if (blocked == blocked_paths_.end())
            continue;
        blocked->second.erase(path);
        if (blocked->second.empty())
            blocked_paths_.erase(blocked);
    }
    pending_.erase(found);
}

bool settings_set::try_apply(pending_change const& change,
                             object_path const& path, problem_list& problems)
{
    if (!change.is_removal && !change.object)
        return false;
    if (change.is_removal)
    {
        if (path.kind == object_kind::ranks)
        {
            problems.push_back(make_problem(
                problem_kind::missing_object, path, "",
                "the ranks cannot be removed; the previous ones stay in force",
                ""));
        }
        index_.check_removal(path, settings_, problems);
    }
    else
    {
        check_references(*change.object, problems);
        index_.check_change(*change.object, problems);
    }
    if (!problems.empty())
        return false;
    if (change.is_removal)
        remove(path);
    else
        store(*change.object);
    versions_[decision::stable_hash(to_text(path))].in_force =
        change.is_removal ? 0 : change.version;
    settings_.revision = std::max(settings_.revision, change.version);
    return true;
}

void settings_set::check_references(settings_object const& object,
                                    problem_list& problems) const
{
    for (auto const& it : object.references)
        check_reference(object, it, problems);
}

void settings_set::check_reference(settings_object const& object,
                                   reference const& needed,
                                   problem_list& problems) const
{
    if (!exists(needed.target))
    {
        auto const target = to_text(needed.target);
        bool const is_pending = pending_.count(target) > 0;
        auto value = make_problem(
            problem_kind::unknown_reference, object.path, needed.key,
            absl::StrCat("'", target,
                         is_pending ? "' is refused itself"
                                    : "' does not exist"),
            target);
        if (is_pending)
            value.remedy = "correct that object first";
        value.line = needed.line;
        problems.push_back(std::move(value));
        return;
    }
    if (needed.target.kind == object_kind::pool)
    {
        check_pool_reference(object.path, needed,
                             settings_.pools.at(needed.target.name), problems);
    }
}

void settings_set::remove(object_path const& path)
{
    if (exists(path))
        index_.remove(path, settings_);
    erase_value(path);
}

void settings_set::store(settings_object const& object)
{
    if (exists(object.path))
        index_.remove(object.path, settings_);
    store_value(object);
    index_.add(object, settings_);
}

void settings_set::store_value(settings_object const& object)
{
    auto const& name = object.path.name;
    auto const& value = object.value;
    switch (object.path.kind)
    {
    case object_kind::ranks:
        settings_.ranks = std::get<decision::rank_table>(value);
        has_ranks_ = true;
        break;
    case object_kind::fleet:
        settings_.fleet = std::get<decision::fleet_parameters>(value);
        has_fleet_ = true;
        break;
    case object_kind::pool:
        settings_.pools[name] = std::get<decision::pool_settings>(value);
        break;
    case object_kind::pipeline:
        settings_.pipelines[name] =
            std::get<decision::pipeline_settings>(value);
        break;
    case object_kind::organisation:
        settings_.organisations[name] =
            std::get<decision::organisation_settings>(value);
        break;
    }
}

void settings_set::erase_value(object_path const& path)
{
    switch (path.kind)
    {
    case object_kind::ranks:
        break;
    case object_kind::fleet:
        settings_.fleet = {};
        has_fleet_ = false;
        break;
    case object_kind::pool:
        settings_.pools.erase(path.name);
        break;
    case object_kind::pipeline:
        settings_.pipelines.erase(path.name);
        break;
    case object_kind::organisation:
        settings_.organisations.erase(path.name);
        break;
    }
}

bool settings_set::exists(object_path const& path) const
{
    switch (path.kind)
    {
    case object_kind::ranks:
        return has_ranks_;
    case object_kind::fleet:
        return has_fleet_;
    case object_kind::pool:
        return settings_.pools.count(path.name) > 0;
    case object_kind::pipeline:
        return settings_.pipelines.count(path.name) > 0;
    case object_kind::organisation:
        break;
    }
    return settings_.organisations.count(path.name) > 0;
}

// Returns the paths in the order of object_kind.
std::vector<object_path> settings_set::paths_in_force() const
{
    std::vector<object_path> paths;
    if (has_ranks_)
        paths.push_back({object_kind::ranks, ""});
    if (has_fleet_)
        paths.push_back({object_kind::fleet, ""});
    auto const add = [&](object_kind kind, auto const& objects)
    {
        for (auto const& [name, value] : objects)
            paths.push_back({kind, name});
    };
    add(object_kind::pool, settings_.pools);
    add(object_kind::pipeline, settings_.pipelines);
    add(object_kind::organisation, settings_.organisations);
    return paths;
}

} // namespace buckthornvale::settings
