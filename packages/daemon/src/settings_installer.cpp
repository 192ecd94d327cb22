#include <buckthornvale/daemon/settings_installer.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::daemon
{

namespace
{

namespace requests = decision::requests;

requests::settings_kind kind_of(settings::object_kind kind)
{
    switch (kind)
    {
    case settings::object_kind::ranks:
        return requests::settings_kind::ranks;
    case settings::object_kind::fleet:
        return requests::settings_kind::fleet;
    case settings::object_kind::pool:
        return requests::settings_kind::pool;
    case settings::object_kind::pipeline:
        return requests::settings_kind::pipeline;
    case settings::object_kind::organisation:
        break;
    }
    return requests::settings_kind::organisation;
}

// Every object in force, for the first installation.
std::vector<requests::settings_change>
all_changes(decision::fleet_settings const& settings)
{
    using requests::settings_kind;
    std::vector<requests::settings_change> changes = {
        {settings_kind::ranks, {}}, {settings_kind::fleet, {}}};
    for (auto const& it : settings.pools)
        changes.push_back({settings_kind::pool, it.first});
    for (auto const& it : settings.pipelines)
        changes.push_back({settings_kind::pipeline, it.first});
    for (auto const& it : settings.organisations)
        changes.push_back({settings_kind::organisation, it.first});
    return changes;
}

} // namespace

install_result settings_installer::apply(decision::apply_settings const& change)
{
    install_result result;
    std::vector<requests::settings_change> changes;
    auto objects = change.objects;
    // Versions rise from one object to the next, as the set requires.
    std::sort(objects.begin(), objects.end(),
              [](auto const& a, auto const& b)
              { return a.version < b.version; });
    for (auto const& it : objects)
    {
        auto applied = it.deleted ? set_.erase(it.path, it.version)
                                  : set_.put(it.path, it.version, it.value);
        for (auto const& path : applied.changed)
            changes.push_back({kind_of(path.kind), path.name});
        for (auto const& problem : applied.problems)
            result.problems.push_back(settings::to_text(problem));
    }
    if (!set_.is_complete())
        return result;
    if (!std::exchange(complete_, true))
        changes = all_changes(set_.in_force());
    if (!changes.empty())
        result.installed =
            requests::settings_installed{&set_.in_force(), std::move(changes)};
    return result;
}

} // namespace buckthornvale::daemon
