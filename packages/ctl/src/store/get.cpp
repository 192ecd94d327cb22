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

exit_code print_version(context& with, history const& known,
                        std::string const& text, std::uint64_t current)
{
    std::uint64_t version = 0;
    auto const* entry =
        absl::SimpleAtoi(text, &version) ? known.find(version) : nullptr;
    if (!entry || entry->is_removal)
    {
        with.err << "the history has no value of version " << text
                 << "; `history PATH` lists those that it has\n";
        return exit_code::not_found;
    }
    // The current version, so that the output can be applied.
    with.out << (current > 0 ? version_line(current) : "") << entry->text;
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

exit_code run_get(context& with, arguments words)
{
    auto const read = with.store.get(words[0]);
    if (!read.is_done())
    {
        with.err << words[0] << ": "
                 << (read.status == objects::call_status::not_found
                         ? "no such object; `status` and docs/settings.md "
                           "show what there is\n"
                         : "the platform's store did not answer; try again "
                           "later\n");
        return read.status == objects::call_status::not_found
                   ? exit_code::not_found
                   : exit_code::unavailable;
    }
    if (with.flags.is_json)
    {
        with.out << json_text(json{{"path", read.value.path},
                                   {"version", read.value.version},
                                   {"value", read.value.value}});
        return exit_code::success;
    }
    with.out << version_line(read.value.version) << read.value.value;
    return exit_code::success;
}

exit_code run_history(context& with, arguments words)
{
    auto const known = read_history(with.store, words[0]);
    if (known.status != objects::call_status::done)
    {
        with.err << "the platform's store did not answer; try again later\n";
        return exit_code::unavailable;
    }
    if (words.size() > 1)
    {
        auto const current = with.store.get(words[0]);
        return print_version(with, known, words[1], current.value.version);
    }
    if (with.flags.is_json)
    {
        json list = json::array();
        for (auto const& it : known.entries)
            list.push_back(to_json(it));
        with.out << json_text(json{{"path", words[0]}, {"entries", list}});
        return exit_code::success;
    }
    for (auto it = known.entries.rbegin(); it != known.entries.rend(); ++it)
    {
        with.out << it->version << "  " << time_text(it->at_ms) << "  "
                 << (it->author.empty() ? "-" : it->author)
                 << (it->is_removal ? "  removed" : "") << '\n';
    }
    return exit_code::success;
}

} // namespace buckthornvale::ctl
