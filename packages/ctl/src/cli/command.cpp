#include <buckthornvale/ctl/cli/commands.hpp>

#include <algorithm>
#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

constexpr std::size_t max_name_words = 2;

command const commands[] = {
    {"validate", "DIR|FILE", "checks settings files without the platform",
     "Checks each file, and for a folder also the references between them.\n"
     "An object's path is the file's path from its last folder `settings`\n"
     "on, without `.toml`. A file without such a folder is checked as the\n"
     "process settings of one daemon.\n",
     1, 1, &run_validate},
    {"apply", "DIR|FILE", "writes settings files to the store",
     "Checks the files together with what is stored, then writes each changed\n"
     "object on the condition that it still has the version that was read:\n"
     "the one in the file's first line `# version N`, as `get` prints it, or\n"
     "else the version at the start of the command. When another change came\n"
     "first, its diff is shown and nothing is overwritten.\n"
     "  --prune     also removes stored settings that DIR has no file for\n"
     "  --wait      waits until the change is in force on every VM\n"
     "  --author    name for the history\n",
     1, 1, &run_apply},
    {"get", "PATH", "prints a stored object with its version",
     "The first line is `# version N`, for a later `apply`.\n", 1, 1, &run_get},
    {"diff", "DIR|FILE", "shows what `apply` would change",
     "Exits with 1 when anything differs.\n"
     "  --prune     also shows stored settings that DIR has no file for\n",
     1, 1, &run_diff},
    {"history", "PATH [VERSION]", "lists earlier values, or prints one",
     "The last 20 values that `apply` wrote are kept. To revert a change:\n"
     "  history PATH VERSION > FILE, then apply FILE\n",
     1, 2, &run_history},
    {"wait", "[REVISION]", "waits until settings are in force on every VM",
     "Without REVISION: the newest version of the stored settings. Progress\n"
     "is printed on standard error.\n"
     "  --timeout_s, --interval_s\n",
     0, 1, &run_wait},
    {"status", "", "shows VMs and runners",
     "  --loads     also asks each runner for its load\n", 0, 0, &run_status},
    {"drain", "VM", "lets a VM finish its requests and take no new ones",
     "  --wait      waits until nothing is in flight\n"
     "  --timeout_s, --interval_s\n",
     1, 1, &run_drain},
    {"report burn", "",
     "shows error budget burn, cost and shares of runner time",
     "Reads the VMs' metrics. Windows and objectives come from the settings.\n"
     "  --record FILE   adds samples to FILE and computes windows from it\n"
     "  --from FILE     computes from FILE without asking the VMs\n"
     "  --samples N     samples to take, --interval_s apart\n"
     "  --settings DIR  objectives from files instead of the store\n"
     "  --html FILE     writes a self-contained page with plots\n"
     "  --rules         prints multi-window burn-rate alert rules\n"
     "  --top N         organisations to list\n",
     0, 0, &run_report_burn},
    {"reference", "", "prints the page docs/settings.md", "", 0, 0,
     &run_reference},
};

std::string join_words(arguments words, std::size_t count)
{
    std::string name;
    for (auto const& it : words.subspan(0, count))
        name += (name.empty() ? "" : " ") + it;
    return name;
}

// Returns the subcommand and the number of words in its name. Prefers the
// longer name.
std::pair<command const*, std::size_t> find_command(arguments words)
{
    for (auto n = std::min(max_name_words, words.size()); n > 0; --n)
    {
        auto const name = join_words(words, n);
        for (auto const& it : commands)
        {
            if (it.name == name)
                return {&it, n};
        }
    }
    return {nullptr, 0};
}

void print_usage(std::ostream& out)
{
    out << "usage: buckthornvalectl [FLAGS] COMMAND [ARGUMENTS]\n\n"
           "commands:\n";
    for (auto const& it : commands)
    {
        out << "  " << it.name << ' ' << it.usage << "\n      " << it.summary
            << '\n';
    }
    out << "\nflags of every command:\n"
           "  --platform IP:PORT   the platform's object API\n"
           "  --output text|json\n"
           "  --help               help of a command\n\n"
           "exit codes:\n";
    for (auto const& it : all_exit_codes())
        out << "  " << static_cast<int>(it.code) << "  " << it.text << '\n';
}

void print_help(std::ostream& out, command const& it)
{
    out << "usage: buckthornvalectl [FLAGS] " << it.name
        << (it.usage.empty() ? "" : " ") << it.usage << "\n\n"
        << it.summary << "\n\n"
        << it.help;
}

} // namespace

absl::Span<command const> all_commands()
{
    return commands;
}

exit_code run_command(context& ctx, arguments words, bool wants_help)
{
    auto const [found, n] = find_command(words);
    if (!found)
    {
        bool const is_help_request = wants_help && words.empty();
        if (!words.empty())
        {
            ctx.err << "there is no command '" << words.front()
                    << "'; choose one of these\n\n";
        }
        print_usage(is_help_request ? ctx.out : ctx.err);
        return is_help_request ? exit_code::success : exit_code::usage;
    }
    if (wants_help)
    {
        print_help(ctx.out, *found);
        return exit_code::success;
    }
    auto const command_arguments = words.subspan(n);
    if (command_arguments.size() < found->min_arguments ||
        command_arguments.size() > found->max_arguments)
    {
        ctx.err << "wrong number of arguments\n\n";
        print_help(ctx.err, *found);
        return exit_code::usage;
    }
    return found->run(ctx, command_arguments);
}

} // namespace buckthornvale::ctl
