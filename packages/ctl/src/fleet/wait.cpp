#include <buckthornvale/ctl/cli/commands.hpp>
#include <buckthornvale/ctl/cli/json_text.hpp>
#include <buckthornvale/ctl/fleet/vm_status.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t page_limit = 500;

// Highest version of all stored settings objects.
std::optional<std::uint64_t> newest_version(context& ctx)
{
    auto const listed = objects::list_all(ctx.store, "settings/", page_limit);
    if (!listed.is_done())
        return std::nullopt;
    std::uint64_t newest = 0;
    for (auto const& it : listed.value.items)
        newest = std::max(newest, it.version);
    return newest;
}

struct rollout_progress
{
    std::size_t total = 0;
    std::vector<std::string> behind; //!< VMs, with their revision

    std::string describe(std::uint64_t revision) const
    {
        auto line = absl::StrCat(total - behind.size(), " of ", total,
                                 " VMs have revision ", revision, " in force");
        for (std::size_t i = 0; i < behind.size(); ++i)
            absl::StrAppend(&line, i == 0 ? "; waiting for " : ", ", behind[i]);
        return line;
    }
};

// A VM that is leaving or unreachable counts as behind until the platform no
// longer lists it.
rollout_progress read_progress(context& ctx, std::uint64_t revision,
                               std::vector<objects::platform_vm> const& vms)
{
    rollout_progress progress;
    progress.total = vms.size();
    for (auto const& it : read_statuses(ctx, vms))
    {
        if (it.revision && *it.revision >= revision)
            continue;
        progress.behind.push_back(absl::StrCat(
            it.vm.id, it.revision ? absl::StrCat(" (", *it.revision, ")")
                                  : std::string(" (no status)")));
    }
    return progress;
}

exit_code report_result(context& ctx, std::uint64_t revision,
                        rollout_progress const& progress, exit_code status)
{
    if (ctx.flags.is_json)
    {
        ctx.out << json_text(json{{"revision", revision},
                                  {"vms", progress.total},
                                  {"behind", progress.behind},
                                  {"in_force", status == exit_code::success}});
    }
    else if (status == exit_code::success)
    {
        ctx.out << progress.describe(revision) << '\n';
    }
    if (status == exit_code::timed_out)
    {
        ctx.err << "the time limit passed; `status` shows the VMs, "
                   "--timeout_s gives more time\n";
    }
    return status;
}

} // namespace

exit_code run_wait(context& ctx, arguments words)
{
    std::optional<std::uint64_t> revision;
    if (words.empty())
    {
        revision = newest_version(ctx);
        if (!revision)
        {
            ctx.err << "the platform's store did not list the settings; try "
                       "again later, or name a REVISION\n";
            return exit_code::unavailable;
        }
    }
    else
    {
        revision.emplace();
        if (!absl::SimpleAtoi(words[0], &*revision))
        {
            ctx.err << "'" << words[0]
                    << "' is not a revision; `apply` and `get` print it\n";
            return exit_code::usage;
        }
    }
    std::string last_shown;
    for (decision::duration waited{};; waited += ctx.flags.interval)
    {
        auto const vms = list_entry_vms(ctx);
        if (!vms)
            return exit_code::unavailable;
        auto const progress = read_progress(ctx, *revision, *vms);
        if (progress.behind.empty())
            return report_result(ctx, *revision, progress, exit_code::success);
        auto line = progress.describe(*revision);
        if (line != last_shown)
            ctx.err << line << std::endl;
        last_shown = std::move(line);
        if (waited >= ctx.flags.timeout)
            return report_result(ctx, *revision, progress,
                                 exit_code::timed_out);
        ctx.sleep(ctx.flags.interval);
    }
}

} // namespace buckthornvale::ctl
