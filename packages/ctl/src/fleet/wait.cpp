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

// Newest version of the stored settings.
std::optional<std::uint64_t> newest_version(context& with)
{
    auto const listed = objects::list_all(with.store, "settings/", page_limit);
    if (!listed.is_done())
        return std::nullopt;
    std::uint64_t newest = 0;
    for (auto const& it : listed.value.items)
        newest = std::max(newest, it.version);
    return newest;
}

struct wait_state
{
    std::size_t total = 0;
    std::vector<std::string> behind; //!< VMs, with what they have

    std::string text(std::uint64_t revision) const
    {
        auto line = absl::StrCat(total - behind.size(), " of ", total,
                                 " VMs have revision ", revision, " in force");
        for (std::size_t i = 0; i < behind.size(); ++i)
            absl::StrAppend(&line, i == 0 ? "; waiting for " : ", ", behind[i]);
        return line;
    }
};

// A VM that leaves or cannot be reached counts as behind until the platform
// no longer lists it.
wait_state read_state(context& with, std::uint64_t revision,
                      std::vector<objects::platform_vm> const& vms)
{
    wait_state state;
    state.total = vms.size();
    for (auto const& it : read_statuses(with, vms))
    {
        if (it.revision && *it.revision >= revision)
            continue;
        state.behind.push_back(absl::StrCat(
            it.vm.id, it.revision ? absl::StrCat(" (", *it.revision, ")")
                                  : std::string(" (no status)")));
    }
    return state;
}

exit_code finish(context& with, std::uint64_t revision, wait_state const& state,
                 exit_code status)
{
    if (with.flags.is_json)
    {
        with.out << json_text(json{{"revision", revision},
                                   {"vms", state.total},
                                   {"behind", state.behind},
                                   {"in_force", status == exit_code::success}});
    }
    else if (status == exit_code::success)
    {
        with.out << state.text(revision) << '\n';
    }
    if (status == exit_code::not_in_time)
    {
        with.err << "the time limit passed; `status` shows the VMs, "
                    "--timeout_s gives more time\n";
    }
    return status;
}

} // namespace

exit_code run_wait(context& with, arguments words)
{
    std::optional<std::uint64_t> revision;
    if (words.empty())
    {
        revision = newest_version(with);
        if (!revision)
        {
            with.err << "the platform's store did not list the settings; try "
                        "again later, or name a REVISION\n";
            return exit_code::unavailable;
        }
    }
    else
    {
        revision.emplace();
        if (!absl::SimpleAtoi(words[0], &*revision))
        {
            with.err << "'" << words[0]
                     << "' is not a revision; `apply` and `get` print it\n";
            return exit_code::usage;
        }
    }
    std::string shown;
    for (decision::duration waited{};; waited += with.flags.interval)
    {
        auto const vms = entry_vms(with);
        if (!vms)
            return exit_code::unavailable;
        auto const state = read_state(with, *revision, *vms);
        if (state.behind.empty())
            return finish(with, *revision, state, exit_code::success);
        auto line = state.text(*revision);
        if (line != shown)
            with.err << line << std::endl;
        shown = std::move(line);
        if (waited >= with.flags.timeout)
            return finish(with, *revision, state, exit_code::not_in_time);
        with.sleep(with.flags.interval);
    }
}

} // namespace buckthornvale::ctl
