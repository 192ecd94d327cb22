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

// State of a runner from the settings, the platform and the runner itself.
struct runner_status
{
    std::string pool;
    decision::runner_settings settings;
    bool is_leaving = false;
    json load; //!< GET /v1/load; null if not requested or no response
};

std::vector<runner_status> read_runners(context& ctx)
{
    std::vector<runner_status> runners;
    auto const listed = objects::list_all(ctx.store, "settings/", page_limit);
    if (!listed.is_done())
    {
        ctx.err << "the platform's store did not list the settings; runners "
                   "are not shown, try again later\n";
        return runners;
    }
    std::vector<settings::object_text> texts;
    for (auto const& it : listed.value.items)
        texts.push_back({it.path, it.version, it.value});
    settings::settings_set set;
    set.replace_all(texts, listed.value.revision);
    std::set<std::string> leaving;
    for (auto const& it : ctx.store.vms().value)
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

std::string host_and_port(decision::runner_settings const& runner)
{
    bool const is_v6 = runner.host.find(':') != std::string::npos;
    return (is_v6 ? "[" + runner.host + "]" : runner.host) + ":" +
           std::to_string(runner.port);
}

void read_loads(context& ctx, std::vector<runner_status>& runners)
{
    parallel_for(runners.size(),
                 [&](std::size_t i)
                 {
                     auto const body = ctx.vms.get(
                         host_and_port(runners[i].settings), "/v1/load");
                     if (body)
                         runners[i].load = json::parse(*body, nullptr, false);
                 });
}

std::string field_text(json const& document, char const* name)
{
    if (!document.is_object() || !document.contains(name))
        return "-";
    auto const& value = document[name];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_text(context& ctx, std::vector<vm_status> const& vms,
                std::vector<runner_status> const& runners)
{
    ctx.out << absl::StrFormat("%-16s %-14s %-8s %-10s %8s %6s %9s\n", "VM",
                               "DOMAIN", "STATE", "ANSWERS", "REVISION",
                               "READY", "IN FLIGHT");
    for (auto const& it : vms)
    {
        ctx.out << absl::StrFormat(
            "%-16s %-14s %-8s %-10s %8s %6s %9s\n", it.vm.id,
            it.vm.failure_domain, it.vm.is_leaving ? "leaving" : "live",
            it.is_answering ? "yes" : "no",
            it.revision ? std::to_string(*it.revision) : "-",
            field_text(it.document, "ready"),
            field_text(it.document, "in_flight"));
    }
    if (runners.empty())
        return;
    ctx.out << absl::StrFormat("\n%-16s %-16s %-14s %-22s %-8s %6s", "RUNNER",
                               "POOL", "DOMAIN", "ADDRESS", "STATE", "SLOTS");
    if (ctx.flags.reads_loads)
        ctx.out << absl::StrFormat(" %8s %7s", "RUNNING", "QUEUED");
    ctx.out << '\n';
    for (auto const& it : runners)
    {
        ctx.out << absl::StrFormat(
            "%-16s %-16s %-14s %-22s %-8s %6.4g", it.settings.name, it.pool,
            it.settings.failure_domain, host_and_port(it.settings),
            it.is_leaving ? "leaving" : "live", it.settings.slots);
        if (ctx.flags.reads_loads)
        {
            ctx.out << absl::StrFormat(" %8s %7s",
                                       field_text(it.load, "running"),
                                       field_text(it.load, "queued"));
        }
        ctx.out << '\n';
    }
}

void print_json(context& ctx, std::vector<vm_status> const& vms,
                std::vector<runner_status> const& runners)
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
             {"address", host_and_port(it.settings)},
             {"failure_domain", it.settings.failure_domain},
             {"leaving", it.is_leaving},
             {"slots", it.settings.slots},
             {"load", it.load}});
    }
    ctx.out << json_text(document);
}

} // namespace

exit_code run_status(context& ctx, arguments /*words*/)
{
    auto const listed = list_entry_vms(ctx);
    if (!listed)
        return exit_code::unavailable;
    auto const vms = read_statuses(ctx, *listed);
    auto runners = read_runners(ctx);
    if (ctx.flags.reads_loads)
        read_loads(ctx, runners);
    if (ctx.flags.is_json)
        print_json(ctx, vms, runners);
    else
        print_text(ctx, vms, runners);
    return exit_code::success;
}

} // namespace buckthornvale::ctl
