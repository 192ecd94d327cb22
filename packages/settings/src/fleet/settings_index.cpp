#include "reference_check.hpp"
#include <buckthornvale/settings/fleet/settings_index.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace buckthornvale::settings
{

settings_index::settings_index(hash_function hash) : hash_(hash) {}

void settings_index::check_change(settings_object const& object,
                                  problem_list& problems) const
{
    check_pool_change(object, problems);
    check_ids(object, problems);
}

void settings_index::add(settings_object const& object,
                         decision::fleet_settings const& settings)
{
    auto const& path = object.path;
    add_ids(path, settings);
    for (auto const& it : object.references)
    {
        if (it.target.kind == object_kind::pool)
            pipelines_by_pool_[it.target.name].insert(path.name);
        else
            ++organisation_counts_[it.target.name];
    }
    if (path.kind == object_kind::pipeline)
        pipeline_references_[path.name] = object.references;
}

void settings_index::check_removal(object_path const& path,
                                   decision::fleet_settings const& settings,
                                   problem_list& problems) const
{
    auto const report_referrer = [&](object_path const& referrer)
    {
        auto const referrer_path = to_text(referrer);
        problems.push_back(make_problem(
            problem_kind::still_referenced, path, "",
            absl::StrCat("'", referrer_path, "' refers to it"), referrer_path));
    };
    if (auto const users = pipelines_by_pool_.find(path.name);
        path.kind == object_kind::pool && users != pipelines_by_pool_.end())
    {
        for (auto const& it : users->second)
            report_referrer({object_kind::pipeline, it});
    }
    if (path.kind != object_kind::pipeline ||
        organisation_counts_.count(path.name) == 0)
        return;
    // One referring organisation is enough to block the removal. Searching for
    // it here avoids storing the organisations of each pipeline.
    for (auto const& [name, it] : settings.organisations)
    {
        auto const& pipelines = it.pipelines;
        if (std::find(pipelines.begin(), pipelines.end(), path.name) !=
            pipelines.end())
            return report_referrer({object_kind::organisation, name});
    }
}

// Checks that a changed pool still meets the requirements of the pipelines in
// force.
void settings_index::check_pool_change(settings_object const& object,
                                       problem_list& problems) const
{
    auto const* pool = std::get_if<decision::pool_settings>(&object.value);
    auto const users = pipelines_by_pool_.find(object.path.name);
    if (!pool || users == pipelines_by_pool_.end())
        return;
    for (auto const& name : users->second)
    {
        object_path const referrer{object_kind::pipeline, name};
        problem_list found;
        for (auto const& needed : pipeline_references_.at(name))
        {
            if (needed.target == object.path)
                check_pool_reference(referrer, needed, *pool, found);
        }
        if (found.empty())
            continue;
        auto const referrer_path = to_text(referrer);
        problems.push_back(
            make_problem(problem_kind::still_referenced, object.path, "",
                         absl::StrCat("'", referrer_path,
                                      "' depends on the value in force: ",
                                      found.front().message),
                         referrer_path));
    }
}

void settings_index::check_ids(settings_object const& object,
                               problem_list& problems) const
{
    auto const& path = object.path;
    auto const& names = names_by_id_[static_cast<std::size_t>(path.kind)];
    auto const found = names.find(hash_(path.name));
    if (found != names.end() && *found->second != path.name)
    {
        problems.push_back(
            make_problem(problem_kind::hash_collision, path, "name",
                         absl::StrCat("the ids of '", path.name, "' and '",
                                      *found->second, "' are equal"),
                         to_text({path.kind, *found->second})));
    }
    if (auto const* pool = std::get_if<decision::pool_settings>(&object.value))
        check_runner_ids(*pool, path, problems);
}

void settings_index::check_runner_ids(decision::pool_settings const& pool,
                                      object_path const& path,
                                      problem_list& problems) const
{
    std::map<std::uint64_t, runner_entry> runners_in_pool;
    for (auto const& it : pool.runners)
    {
        auto const id = hash_(it.name);
        auto const [first, is_new] =
            runners_in_pool.try_emplace(id, runner_entry{it.name, path.name});
        auto const found = runners_by_id_.find(id);
        runner_entry const* other = nullptr;
        if (found != runners_by_id_.end() && found->second.pool != path.name)
            other = &found->second;
        else if (!is_new)
            other = &first->second;
        if (!other)
            continue;
        auto const other_path = to_text({object_kind::pool, other->pool});
        bool const is_same = other->name == it.name;
        problems.push_back(make_problem(
            is_same ? problem_kind::duplicate_name
                    : problem_kind::hash_collision,
            path, "runners.name",
            is_same ? absl::StrCat("the runner '", it.name, "' is also in '",
                                   other_path, "'")
                    : absl::StrCat("the ids of the runners '", it.name,
                                   "' and '", other->name, "' are equal"),
            other_path));
    }
}

void settings_index::add_ids(object_path const& path,
                             decision::fleet_settings const& settings)
{
    auto& names = names_by_id_[static_cast<std::size_t>(path.kind)];
    auto const add = [&](auto const& objects)
    { names[hash_(path.name)] = &objects.find(path.name)->first; };
    if (path.kind == object_kind::pool)
        add(settings.pools);
    else if (path.kind == object_kind::pipeline)
        add(settings.pipelines);
    else if (path.kind == object_kind::organisation)
        add(settings.organisations);
    if (path.kind != object_kind::pool)
        return;
    for (auto const& it : settings.pools.at(path.name).runners)
        runners_by_id_[hash_(it.name)] = {it.name, path.name};
}

void settings_index::remove(object_path const& path,
                            decision::fleet_settings const& settings)
{
    auto const& name = path.name;
    names_by_id_[static_cast<std::size_t>(path.kind)].erase(hash_(name));
    if (path.kind == object_kind::pool)
    {
        for (auto const& it : settings.pools.at(name).runners)
            runners_by_id_.erase(hash_(it.name));
    }
    else if (path.kind == object_kind::pipeline)
    {
        for (auto const& it : pipeline_references_.at(name))
        {
            auto const users = pipelines_by_pool_.find(it.target.name);
            if (users == pipelines_by_pool_.end())
                continue;
            users->second.erase(name);
            if (users->second.empty())
                pipelines_by_pool_.erase(users);
        }
        pipeline_references_.erase(name);
    }
    else if (path.kind == object_kind::organisation)
    {
        for (auto const& it : settings.organisations.at(name).pipelines)
        {
            auto const users = organisation_counts_.find(it);
            if (--users->second == 0)
                organisation_counts_.erase(users);
        }
    }
}

} // namespace buckthornvale::settings
