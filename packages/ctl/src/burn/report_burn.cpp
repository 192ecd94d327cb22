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

std::optional<std::vector<settings::object_text>> read_objects(context& with)
{
    std::vector<settings::object_text> objects;
    if (!with.flags.settings.empty())
    {
        auto const files = read_settings(with.flags.settings);
        if (!files)
            return std::nullopt;
        for (auto const& it : *files)
            objects.push_back({it.path, 1, it.text});
        return objects;
    }
    auto const listed = objects::list_all(with.store, "settings/", page_limit);
    if (!listed.is_done())
        return std::nullopt;
    for (auto const& it : listed.value.items)
        objects.push_back({it.path, it.version, it.value});
    return objects;
}

// Objectives and windows.
std::optional<decision::fleet_settings> read_fleet(context& with)
{
    auto const objects = read_objects(with);
    settings::settings_set set;
    if (objects)
        set.replace_all(*objects, 1);
    if (set.is_complete())
        return set.in_force();
    with.err << "the objectives could not be read: no valid settings/ranks; "
                "name a folder with --settings, or check the platform\n";
    return std::nullopt;
}

// Earlier snapshots, if there are any, and the new ones.
std::optional<std::vector<snapshot>> read_all(context& with)
{
    auto const& flags = with.flags;
    if (!flags.from.empty())
    {
        auto snapshots = read_snapshots(flags.from);
        if (!snapshots)
        {
            with.err << flags.from
                     << ": cannot be read; record it first with "
                        "--record\n";
        }
        return snapshots;
    }
    std::vector<snapshot> snapshots;
    if (!flags.record.empty())
        snapshots = read_snapshots(flags.record).value_or(snapshots);
    for (std::uint32_t i = 0; i < flags.samples; ++i)
    {
        if (i > 0)
            with.sleep(flags.interval);
        auto taken = take_snapshot(with);
        if (!taken)
            return std::nullopt;
        if (!flags.record.empty() && !append_snapshot(flags.record, *taken))
        {
            with.err << flags.record
                     << ": cannot be written; name another "
                        "file with --record\n";
            return std::nullopt;
        }
        if (flags.samples > 1)
        {
            with.err << "sample " << i + 1 << " of " << flags.samples
                     << std::endl;
        }
        snapshots.push_back(std::move(*taken));
    }
    return snapshots;
}

bool write_page(context& with, burn_report const& report)
{
    std::ofstream page(with.flags.html, std::ios::binary);
    page << burn_html(report);
    page.flush();
    if (!page)
    {
        with.err << with.flags.html
                 << ": cannot be written; name another "
                    "file with --html\n";
        return false;
    }
    with.err << "wrote " << with.flags.html << '\n';
    return true;
}

} // namespace

exit_code run_report_burn(context& with, arguments /*words*/)
{
    auto const fleet = read_fleet(with);
    if (!fleet)
        return exit_code::unavailable;
    auto const& windows = fleet->fleet.burn_windows;
    if (with.flags.prints_rules)
    {
        with.out << burn_rules(fleet->ranks, windows);
        return exit_code::success;
    }
    auto const snapshots = read_all(with);
    if (!snapshots)
        return exit_code::unavailable;
    if (snapshots->size() < 2)
    {
        with.err << "burn needs two snapshots; take more with --samples, or "
                    "repeat the command with the same --record FILE\n";
        return exit_code::success;
    }
    auto const report =
        make_burn_report(*snapshots, fleet->ranks, windows, with.flags.top);
    if (!with.flags.html.empty() && !write_page(with, report))
        return exit_code::usage;
    with.out << (with.flags.is_json ? burn_json(report) : burn_text(report));
    return exit_code::success;
}

} // namespace buckthornvale::ctl
