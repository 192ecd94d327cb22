#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>

namespace buckthornvale::settings
{

namespace
{

// Kinds of ids; the first three equal those of object_kind.
constexpr int runner_ids = 100;

problem make_problem(problem_kind kind, object_path const& path,
                     std::string key, std::string message,
                     std::string blocked_by)
{
    problem value;
    value.kind = kind;
    value.path = to_text(path);
    value.key = std::move(key);
    value.message = std::move(message);
    value.remedy = std::string(traits_of(kind).remedy);
    value.blocked_by = std::move(blocked_by);
    return value;
}

// Checks what a stage needs of its pool.
void check_pool(object_path const& path, reference const& needed,
                decision::pool_settings const& pool, problem_list& problems)
{
    auto const add = [&](problem_kind kind, std::string message)
    {
        auto value = make_problem(kind, path, needed.key, std::move(message),
                                  to_text(needed.target));
        value.line = needed.line;
        problems.push_back(std::move(value));
    };
    if (needed.is_engine && pool.kind != decision::runner_kind::engine)
    {
        add(problem_kind::inconsistent,
            "the stage generates with a model, but pool '" + pool.name +
                "' consists of services");
    }
    auto const& models = pool.models;
    bool const is_listed =
        needed.model.empty() || models.empty() ||
        std::find(models.begin(), models.end(), needed.model) != models.end();
    if (!is_listed)
    {
        add(problem_kind::unknown_reference, "pool '" + pool.name +
                                                 "' does not list the model '" +
                                                 needed.model + "'");
    }
}

} // namespace

settings_set::settings_set(hash_function hash) : hash_(hash) {}

std::uint64_t settings_set::version_of(object_path const& path) const
{
    auto const it = versions_.find(path);
    return it == versions_.end() ? 0 : it->second;
}

problem_list settings_set::held_problems() const
{
    problem_list all;
    for (auto const& [path, change] : held_)
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
    held_change change;
    change.version = version;
    change.object = std::move(parsed.object);
    change.problems = std::move(parsed.problems);
    submit(name, std::move(change), result);
    return result;
}

change_result settings_set::erase(std::string_view path, std::uint64_t version)
{
    change_result result;
    std::string const name(path);
    result.is_stale = is_stale(name, version);
    if (result.is_stale)
        return result;
    held_change change;
    change.version = version;
    change.is_removal = true;
    submit(name, std::move(change), result);
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
    // Referenced objects first, so that few have to be held back.
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
    for (auto const& [path, version] : versions_)
    {
        auto text = to_text(path);
        if (listed.count(text) == 0)
            removed.push_back(std::move(text));
    }
    // Referring objects first.
    for (auto it = removed.rbegin(); it != removed.rend(); ++it)
        add(erase(*it, revision));
    total.problems = held_problems();
    return total;
}

bool settings_set::is_stale(std::string const& path, std::uint64_t version)
{
    auto& latest = latest_[path];
    if (version <= latest)
        return true;
    latest = version;
    return false;
}

void settings_set::submit(std::string const& path, held_change change,
                          change_result& result)
{
    release(path);
    auto const parsed_path = parse_object_path(path);
    if (!parsed_path)
    {
        result.problems = std::move(change.problems);
        return;
    }
    if (try_apply(change, *parsed_path, change.problems))
    {
        result.changed.push_back(*parsed_path);
        wake(*parsed_path, result);
        return;
    }
    result.problems = change.problems;
    hold(path, std::move(change));
}

// Tries again what the changed objects held back, until nothing moves.
void settings_set::wake(object_path const& changed, change_result& result)
{
    std::deque<object_path> pending{changed};
    while (!pending.empty())
    {
        auto const blocked = blocked_.find(to_text(pending.front()));
        pending.pop_front();
        if (blocked == blocked_.end())
            continue;
        auto const waiting = blocked->second;
        for (auto const& path : waiting)
        {
            auto change = held_.at(path);
            release(path);
            change.problems.clear();
            auto const parsed_path = parse_object_path(path);
            if (try_apply(change, *parsed_path, change.problems))
            {
                result.changed.push_back(*parsed_path);
                pending.push_back(*parsed_path);
            }
            else
            {
                hold(path, std::move(change));
            }
        }
    }
}

void settings_set::hold(std::string const& path, held_change change)
{
    for (auto const& it : change.problems)
    {
        if (!it.blocked_by.empty())
            blocked_[it.blocked_by].insert(path);
    }
    held_[path] = std::move(change);
}

void settings_set::release(std::string const& path)
{
    auto const held = held_.find(path);
    if (held == held_.end())
        return;
    for (auto const& it : held->second.problems)
    {
        auto const blocked = blocked_.find(it.blocked_by);
        if (blocked == blocked_.end())
            continue;
        blocked->second.erase(path);
        if (blocked->second.empty())
            blocked_.erase(blocked);
    }
    held_.erase(held);
}

bool settings_set::try_apply(held_change const& change, object_path const& path,
                             problem_list& problems)
{
    if (change.is_removal)
    {
        if (path.kind == object_kind::ranks)
        {
            problems.push_back(make_problem(
                problem_kind::missing_object, path, "",
                "the ranks cannot be removed; the former ones stay", ""));
        }
        check_dependents(path, nullptr, problems);
        if (!problems.empty())
            return false;
        remove_from_indexes(path);
        drop_value(path);
        versions_.erase(path);
    }
    else
    {
        if (!change.object)
            return false;
        check_references(*change.object, problems);
        check_dependents(path, &change.object->value, problems);
        check_ids(*change.object, problems);
        if (!problems.empty())
            return false;
        remove_from_indexes(path);
        store_value(*change.object);
        add_to_indexes(*change.object);
        versions_[path] = change.version;
    }
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
        bool const is_held = held_.count(target) > 0;
        auto value = make_problem(
            problem_kind::unknown_reference, object.path, needed.key,
            absl::StrCat("'", target,
                         is_held ? "' is refused itself" : "' does not exist"),
            target);
        if (is_held)
            value.remedy = "correct that object first";
        value.line = needed.line;
        problems.push_back(std::move(value));
        return;
    }
    if (needed.target.kind == object_kind::pool)
    {
        check_pool(object.path, needed, settings_.pools.at(needed.target.name),
                   problems);
    }
}

void settings_set::check_dependents(object_path const& path,
                                    object_value const* replacement,
                                    problem_list& problems) const
{
    auto const dependents = dependents_.find(path);
    if (dependents == dependents_.end())
        return;
    for (auto const& it : dependents->second)
    {
        problem_list found;
        for (auto const& needed : references_.at(it))
        {
            if (needed.target == path && replacement &&
                path.kind == object_kind::pool)
            {
                check_pool(it, needed,
                           std::get<decision::pool_settings>(*replacement),
                           found);
            }
        }
        if (replacement && found.empty())
            continue;
        auto const reason = found.empty() ? "" : ": " + found.front().message;
        problems.push_back(make_problem(
            problem_kind::still_referenced, path, "",
            "'" + to_text(it) + "' needs the value in force" + reason,
            to_text(it)));
    }
}

void settings_set::check_ids(settings_object const& object,
                             problem_list& problems) const
{
    std::map<id_key, std::string> own;
    for (auto const& [id, name] : ids_of(object.path, object.value))
    {
        std::string other;
        std::string other_path;
        auto const found = owners_.find(id);
        if (found != owners_.end() && !(found->second.path == object.path))
        {
            other = found->second.name;
            other_path = to_text(found->second.path);
        }
        else if (auto const [it, is_new] = own.emplace(id, name); !is_new)
        {
            other = it->second;
        }
        if (other.empty())
            continue;
        bool const is_same = other == name;
        auto message = is_same ? absl::StrCat("the name '", name,
                                              "' is used in '", other_path, "'")
                               : absl::StrCat("the ids of '", name, "' and '",
                                              other, "' are equal");
        problems.push_back(make_problem(is_same ? problem_kind::duplicate_name
                                                : problem_kind::hash_collision,
                                        object.path, "name", std::move(message),
                                        other_path));
    }
}

std::vector<std::pair<settings_set::id_key, std::string>>
settings_set::ids_of(object_path const& path, object_value const& value) const
{
    std::vector<std::pair<id_key, std::string>> ids;
    auto const add = [&](int kind, std::string const& name) {
        ids.push_back({{kind, hash_(name)}, name});
    };
    if (!path.name.empty())
        add(static_cast<int>(path.kind), path.name);
    if (auto const* pool = std::get_if<decision::pool_settings>(&value))
    {
        for (auto const& it : pool->runners)
            add(runner_ids, it.name);
    }
    return ids;
}

void settings_set::remove_from_indexes(object_path const& path)
{
    auto const references = references_.find(path);
    if (references != references_.end())
    {
        for (auto const& it : references->second)
        {
            auto const dependents = dependents_.find(it.target);
            if (dependents == dependents_.end())
                continue;
            dependents->second.erase(path);
            if (dependents->second.empty())
                dependents_.erase(dependents);
        }
        references_.erase(references);
    }
    // The value in force says which ids to give up.
    if (versions_.count(path) == 0)
        return;
    object_value value;
    if (path.kind == object_kind::pool)
        value = settings_.pools.at(path.name);
    for (auto const& [id, name] : ids_of(path, value))
        owners_.erase(id);
}

void settings_set::add_to_indexes(settings_object const& object)
{
    for (auto const& it : object.references)
        dependents_[it.target].insert(object.path);
    references_[object.path] = object.references;
    for (auto const& [id, name] : ids_of(object.path, object.value))
        owners_[id] = {name, object.path};
}

void settings_set::store_value(settings_object const& object)
{
    auto const& name = object.path.name;
    auto const& value = object.value;
    switch (object.path.kind)
    {
    case object_kind::ranks:
        settings_.ranks = std::get<decision::rank_table>(value);
        break;
    case object_kind::fleet:
        settings_.fleet = std::get<decision::fleet_knobs>(value);
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

void settings_set::drop_value(object_path const& path)
{
    switch (path.kind)
    {
    case object_kind::ranks:
        break;
    case object_kind::fleet:
        settings_.fleet = {};
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
    return versions_.count(path) > 0;
}

} // namespace buckthornvale::settings
