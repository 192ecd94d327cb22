#include <buckthornvale/ctl/cli/commands.hpp>
#include <buckthornvale/ctl/store/change_plan.hpp>
#include <buckthornvale/ctl/store/settings_files.hpp>
#include <buckthornvale/settings/fleet/assemble.hpp>
#include <buckthornvale/settings/process/process_settings.hpp>
#include <buckthornvale/settings/schema/reference_page.hpp>

#include <filesystem>
#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

void append(settings::problem_list& all, settings::problem_list part,
            settings_file const& file)
{
    for (auto& it : part)
    {
        it.path = file.file;
        it.line += it.line > 0 ? file.skipped_lines : 0;
        all.push_back(std::move(it));
    }
}

// Checks references between objects only for a whole folder.
settings::problem_list check(std::vector<settings_file> const& files,
                             bool is_folder)
{
    settings::problem_list problems;
    std::vector<settings::object_text> objects;
    for (auto const& it : files)
    {
        if (it.path.empty())
        {
            append(problems, settings::parse_process(it.file, it.text).problems,
                   it);
        }
        else if (!is_folder)
        {
            append(problems, settings::parse_object(it.path, it.text).problems,
                   it);
        }
        else
        {
            objects.push_back({it.path, 0, it.text});
        }
    }
    if (objects.empty())
        return problems;
    for (auto& found : settings::assemble(objects).problems)
    {
        for (auto const& it : files)
        {
            if (it.path != found.path)
                continue;
            found.path = it.file;
            found.line += found.line > 0 ? it.skipped_lines : 0;
            break;
        }
        problems.push_back(std::move(found));
    }
    return problems;
}

} // namespace

exit_code run_validate(context& ctx, arguments words)
{
    auto const files = read_settings(words[0]);
    if (!files || files->empty())
    {
        ctx.err << words[0]
                << ": no settings files can be read there; name "
                   "a folder with .toml files or one file\n";
        return exit_code::usage;
    }
    std::error_code ec;
    auto const problems =
        check(*files, std::filesystem::is_directory(words[0], ec));
    if (!problems.empty() || ctx.flags.is_json)
        print_problems(ctx, problems);
    if (!problems.empty())
        return exit_code::invalid;
    if (!ctx.flags.is_json)
        ctx.out << files->size() << " files are valid\n";
    return exit_code::success;
}

exit_code run_reference(context& ctx, arguments /*words*/)
{
    ctx.out << settings::reference_page();
    return exit_code::success;
}

} // namespace buckthornvale::ctl
