#include <buckthornvale/ctl/burn/burn_report.hpp>
#include <buckthornvale/ctl/cli/commands.hpp>
#include <buckthornvale/ctl/store/settings_files.hpp>
#include <buckthornvale/settings/fleet/settings_set.hpp>

#include <fstream>
#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

constexpr std::size_t page_limit = 500;

std::optional<std::vector<settings::object_text>>
read_settings_objects(context& ctx)
{
    std::vector<settings::object_text> objects;
    if (!ctx.flags.settings_folder.empty())
    {
        auto const files = read_settings(ctx.flags.settings_folder);
        if (!files)
            return std::nullopt;
        for (auto const& it : *files)
            objects.push_back({it.path, 1, it.text});
        return objects;
    }
    auto const listed = objects::list_all(ctx.store, "settings/", page_limit);
    if (!listed.is_done())
        return std::nullopt;
    for (auto const& it : listed.value.items)
        objects.push_back({it.path, it.version, it.value});
    return objects;
}

// Reads the settings with the objectives and the burn windows.
std::optional<decision::fleet_settings> read_fleet_settings(context& ctx)
{
    auto const objects = read_settings_objects(ctx);
    settings::settings_set set;
    if (objects)
        set.replace_all(*objects, 1);
    if (set.is_complete())
        return set.in_force();
    ctx.err << "the objectives could not be read: no valid settings/ranks; "
               "name a folder with --settings, or check the platform\n";
    return std::nullopt;
}

// Reads the recorded snapshots, if any, and unless `from_file` is set takes new
// ones.
std::optional<std::vector<snapshot>> collect_snapshots(context& ctx)
{
    auto const& flags = ctx.flags;
    if (!flags.from_file.empty())
    {
        auto snapshots = read_snapshots(flags.from_file);
        if (!snapshots)
        {
            ctx.err << flags.from_file
                    << ": cannot be read; record it first with "
                       "--record\n";
        }
        return snapshots;
    }
    std::vector<snapshot> snapshots;
    if (!flags.record_file.empty())
        snapshots = read_snapshots(flags.record_file).value_or(snapshots);
    for (std::uint32_t i = 0; i < flags.samples; ++i)
    {
        if (i > 0)
            ctx.sleep(flags.interval);
        auto taken = take_snapshot(ctx);
        if (!taken)
            return std::nullopt;
        if (!flags.record_file.empty() &&
            !append_snapshot(flags.record_file, *taken))
        {
            ctx.err << flags.record_file
                    << ": cannot be written; name another "
                       "file with --record\n";
            return std::nullopt;
        }
        if (flags.samples > 1)
        {
            ctx.err << "sample " << i + 1 << " of " << flags.samples
                    << std::endl;
        }
        snapshots.push_back(std::move(*taken));
    }
    return snapshots;
}

bool write_html(context& ctx, burn_report const& report)
{
    std::ofstream page(ctx.flags.html_file, std::ios::binary);
    page << burn_html(report);
    page.flush();
    if (!page)
    {
        ctx.err << ctx.flags.html_file
                << ": cannot be written; name another "
                   "file with --html\n";
        return false;
    }
    ctx.err << "wrote " << ctx.flags.html_file << '\n';
    return true;
}

} // namespace

exit_code run_report_burn(context& ctx, arguments /*words*/)
{
    auto const fleet = read_fleet_settings(ctx);
    if (!fleet)
        return exit_code::unavailable;
    auto const& windows = fleet->fleet.burn_windows;
    if (ctx.flags.prints_rules)
    {
        ctx.out << burn_rules(fleet->ranks, windows);
        return exit_code::success;
    }
    auto const snapshots = collect_snapshots(ctx);
    if (!snapshots)
        return exit_code::unavailable;
    if (snapshots->size() < 2)
    {
        ctx.err << "burn needs two snapshots; take more with --samples, or "
                   "repeat the command with the same --record FILE\n";
        return exit_code::success;
    }
    auto const report = make_burn_report(*snapshots, fleet->ranks, windows,
                                         ctx.flags.max_organisations);
    if (!ctx.flags.html_file.empty() && !write_html(ctx, report))
        return exit_code::usage;
    ctx.out << (ctx.flags.is_json ? burn_json(report) : burn_text(report));
    return exit_code::success;
}

} // namespace buckthornvale::ctl
