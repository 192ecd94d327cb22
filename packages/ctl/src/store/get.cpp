#include <buckthornvale/ctl/cli/commands.hpp>
#include <buckthornvale/ctl/cli/json_text.hpp>
#include <buckthornvale/ctl/store/history.hpp>
#include <buckthornvale/ctl/store/settings_files.hpp>

#include <absl/strings/numbers.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;

std::string time_text(std::int64_t at_ms)
{
    if (at_ms == 0)
        return "before the history";
    return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(at_ms),
                            absl::UTCTimeZone());
}

exit_code print_version(context& ctx, history const& stored_history,
                        std::string const& text, std::uint64_t current)
{
    std::uint64_t version = 0;
    auto const* entry = absl::SimpleAtoi(text, &version)
                            ? stored_history.find(version)
                            : nullptr;
    if (!entry || entry->is_removal)
    {
        ctx.err << "the history has no value of version " << text
                << "; `history PATH` lists those that it has\n";
        return exit_code::not_found;
    }
    // Prints the current version, so that the output can be applied.
    ctx.out << (current > 0 ? version_line(current) : "") << entry->text;
    return exit_code::success;
}

json to_json(history_entry const& it)
{
    return {{"version", it.version},
            {"at_ms", it.at_ms},
            {"author", it.author},
            {"removal", it.is_removal},
            {"text", it.text}};
}

} // namespace

exit_code run_get(context& ctx, arguments words)
{
    auto const read = ctx.store.get(words[0]);
    if (!read.is_done())
    {
        ctx.err << words[0] << ": "
                << (read.status == objects::call_status::not_found
                        ? "no such object; `status` and docs/settings.md "
                          "show what there is\n"
                        : "the platform's store did not answer; try again "
                          "later\n");
        return read.status == objects::call_status::not_found
                   ? exit_code::not_found
                   : exit_code::unavailable;
    }
    if (ctx.flags.is_json)
    {
        ctx.out << json_text(json{{"path", read.value.path},
                                  {"version", read.value.version},
                                  {"value", read.value.value}});
        return exit_code::success;
    }
    ctx.out << version_line(read.value.version) << read.value.value;
    return exit_code::success;
}

exit_code run_history(context& ctx, arguments words)
{
    auto const stored_history = read_history(ctx.store, words[0]);
    if (stored_history.status != objects::call_status::done)
    {
        ctx.err << "the platform's store did not answer; try again later\n";
        return exit_code::unavailable;
    }
    if (words.size() > 1)
    {
        auto const current = ctx.store.get(words[0]);
        return print_version(ctx, stored_history, words[1],
                             current.value.version);
    }
    if (ctx.flags.is_json)
    {
        json list = json::array();
        for (auto const& it : stored_history.entries)
            list.push_back(to_json(it));
        ctx.out << json_text(json{{"path", words[0]}, {"entries", list}});
        return exit_code::success;
    }
    for (auto it = stored_history.entries.rbegin();
         it != stored_history.entries.rend(); ++it)
    {
        ctx.out << it->version << "  " << time_text(it->at_ms) << "  "
                << (it->author.empty() ? "-" : it->author)
                << (it->is_removal ? "  removed" : "") << '\n';
    }
    return exit_code::success;
}

} // namespace buckthornvale::ctl
