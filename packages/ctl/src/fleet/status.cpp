#include <buckthornvale/ctl/cli/commands.hpp>
#include <buckthornvale/ctl/cli/json_text.hpp>
#include <buckthornvale/ctl/fleet/vm_status.hpp>
#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <absl/strings/str_format.h>

#include <algorithm>
#include <ostream>
#include <set>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t page_limit = 500;

// A runner as settings, platform and the runner itself show it.
struct runner_line
{
    std::string pool;
    decision::runner_settings settings;
    bool is_leaving = false;
    json load; //!< GET /v1/load; null when not asked or not answered
};

std::vector<runner_line> read_runners(context& with)
{
    std::vector<runner_line> runners;
    auto const listed = objects::list_all(with.store, "settings/", page_limit);
    if (!listed.is_done())
    {
        with.err << "the platform's store did not list the settings; runners "
                    "are not shown, try again later\n";
        return runners;
    }
    std::vector<settings::object_text> texts;
    for (auto const& it : listed.value.items)
        texts.push_back({it.path, it.version, it.value});
    settings::settings_set set;
    set.replace_all(texts, listed.value.revision);
    std::set<std::string> leaving;
    for (auto const& it : with.store.vms().value)
    {
        if (it.role == objects::vm_role::runner && it.is_leaving)
            leaving.insert(it.id);
    }
    for (auto const& [name, pool] : set.in_force().pools)
    {
        for (auto const& it : pool.runners)
        {
            runners.push_back(
                {name, it, it.draining || leaving.count(it.name) > 0, {}});
        }
    }
    return runners;
}

std::string address_of(decision::runner_settings const& runner)
{
    bool const is_v6 = runner.host.find(':') != std::string::npos;
    return (is_v6 ? "[" + runner.host + "]" : runner.host) + ":" +
           std::to_string(runner.port);
}

void read_loads(context& with, std::vector<runner_line>& runners)
{
    for_each_parallel(runners.size(),
                      [&](std::size_t i)
                      {
                          auto const body = with.vms.get(
                              address_of(runners[i].settings), "/v1/load");
                          if (body)
                              runners[i].load =
                                  json::parse(*body, nullptr, false);
                      });
}

std::string field(json const& document, char const* name)
{
    if (!document.is_object() || !document.contains(name))
        return "-";
    auto const& value = document[name];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_text(context& with, std::vector<vm_status> const& vms,
                std::vector<runner_line> const& runners)
{
    with.out << absl::StrFormat("%-16s %-14s %-8s %-10s %8s %6s %9s\n", "VM",
                                "DOMAIN", "STATE", "ANSWERS", "REVISION",
                                "READY", "IN FLIGHT");
    for (auto const& it : vms)
    {
        with.out << absl::StrFormat(
            "%-16s %-14s %-8s %-10s %8s %6s %9s\n", it.vm.id,
            it.vm.failure_domain, it.vm.is_leaving ? "leaving" : "live",
            it.is_answering ? "yes" : "no",
            it.revision ? std::to_string(*it.revision) : "-",
            field(it.document, "ready"), field(it.document, "in_flight"));
    }
    if (runners.empty())
        return;
    with.out << absl::StrFormat("\n%-16s %-16s %-14s %-22s %-8s %6s", "RUNNER",
                                "POOL", "DOMAIN", "ADDRESS", "STATE", "SLOTS");
    if (with.flags.reads_loads)
        with.out << absl::StrFormat(" %8s %7s", "RUNNING", "QUEUED");
    with.out << '\n';
    for (auto const& it : runners)
    {
        with.out << absl::StrFormat(
            "%-16s %-16s %-14s %-22s %-8s %6.4g", it.settings.name, it.pool,
            it.settings.failure_domain, address_of(it.settings),
            it.is_leaving ? "leaving" : "live", it.settings.slots);
        if (with.flags.reads_loads)
        {
            with.out << absl::StrFormat(" %8s %7s", field(it.load, "running"),
                                        field(it.load, "queued"));
        }
        with.out << '\n';
    }
}

void print_json(context& with, std::vector<vm_status> const& vms,
                std::vector<runner_line> const& runners)
{
    json document = {{"vms", json::array()}, {"runners", json::array()}};
    for (auto const& it : vms)
    {
        document["vms"].push_back(
            {{"id", it.vm.id},
             {"address", it.vm.address},
             {"failure_domain", it.vm.failure_domain},
             {"leaving", it.vm.is_leaving},
             {"answers", it.is_answering},
             {"revision", it.revision ? json(*it.revision) : json()},
             {"status", it.document}});
    }
    for (auto const& it : runners)
    {
        document["runners"].push_back(
            {{"name", it.settings.name},
             {"pool", it.pool},
             {"address", address_of(it.settings)},
             {"failure_domain", it.settings.failure_domain},
             {"leaving", it.is_leaving},
             {"slots", it.settings.slots},
             {"load", it.load}});
    }
    with.out << json_text(document);
}

} // namespace

exit_code run_status(context& with, arguments /*words*/)
{
    auto const listed = entry_vms(with);
    if (!listed)
        return exit_code::unavailable;
    auto const vms = read_statuses(with, *listed);
    auto runners = read_runners(with);
    if (with.flags.reads_loads)
        read_loads(with, runners);
    if (with.flags.is_json)
        print_json(with, vms, runners);
    else
        print_text(with, vms, runners);
    return exit_code::success;
}

} // namespace buckthornvale::ctl
