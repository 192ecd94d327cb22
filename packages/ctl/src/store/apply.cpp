#include <buckthornvale/ctl/cli/commands.hpp>
#include <buckthornvale/ctl/cli/json_text.hpp>
#include <buckthornvale/ctl/store/change_plan.hpp>
#include <buckthornvale/ctl/store/history.hpp>
#include <buckthornvale/ctl/store/text_diff.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;
using objects::call_status;

// What became of one planned change.
struct applied
{
    exit_code status = exit_code::success;
    std::uint64_t version = 0;
    std::string message;
    std::string diff; //!< of the other change on a conflict
};

objects::write_result write(context& with, planned_change const& change)
{
    return change.is_removal
               ? with.store.remove(change.path, change.expected)
               : with.store.put(change.path, change.expected, change.after);
}

// Settles a write whose response was lost by reading the object back.
objects::write_result settle(context& with, planned_change const& change,
                             objects::write_result result)
{
    auto const read = with.store.get(change.path);
    bool const is_written = change.is_removal
                                ? read.status == call_status::not_found
                                : read.is_done() &&
                                      read.value.version > change.expected &&
                                      read.value.value == change.after;
    if (is_written)
    {
        result.status = call_status::done;
        result.version = read.value.version;
    }
    else if (read.is_done() && read.value.version != change.expected)
    {
        result.status = call_status::conflict;
        result.current = read.value;
    }
    return result;
}

applied conflict_of(context& with, planned_change const& change,
                    objects::write_result const& result)
{
    applied value;
    value.status = exit_code::conflict;
    auto const current = result.current.value_or(objects::object{});
    auto base = change.stored.value;
    std::string note;
    if (change.stored.version != change.expected)
    {
        // The version in the file is older than what this command read.
        auto const known = read_history(with.store, change.path);
        auto const* entry = known.find(change.expected);
        base = entry ? entry->text : "";
        if (!entry)
        {
            note =
                absl::StrCat(". The history has no version ", change.expected,
                             ", so the whole stored value is shown");
        }
    }
    auto const other =
        current.version == 0
            ? std::string("(removed)")
            : absl::StrCat(change.path, " version ", current.version);
    value.diff = unified_diff(
        base, current.value,
        absl::StrCat(change.path, " version ", change.expected), other);
    value.message = absl::StrCat(
        change.path, ": another change came first (expected version ",
        change.expected, ", stored is ", current.version,
        "); nothing was overwritten. Get the object again, repeat your "
        "change on it, and apply it",
        note);
    return value;
}

void record(context& with, planned_change const& change, std::uint64_t version)
{
    // The first entry keeps what was there before the first change.
    if (change.stored.version > 0 &&
        read_history(with.store, change.path).entries.empty())
    {
        append_history(
            with.store, change.path,
            {change.stored.version, 0, "", change.stored.value, false});
    }
    history_entry const entry{version, with.wall_ms(), with.flags.author,
                              change.after, change.is_removal};
    if (!append_history(with.store, change.path, entry))
    {
        with.err << change.path
                 << ": applied, but its history could not be "
                    "written; no action is needed\n";
    }
}

applied apply_one(context& with, planned_change const& change)
{
    auto result = write(with, change);
    if (result.status == call_status::unknown)
        result = settle(with, change, std::move(result));
    if (result.status == call_status::conflict)
        return conflict_of(with, change, result);
    applied value;
    value.status = exit_code_for(result.status);
    value.version = result.version;
    if (result.is_done())
    {
        record(with, change, result.version);
        return value;
    }
    value.message =
        result.status == call_status::unknown
            ? absl::StrCat(change.path, ": the response was lost and the "
                                        "object could not be settled; check "
                                        "it with `get` before applying again")
            : absl::StrCat(change.path, ": not applied (",
                           std::string(name_of(result.status)), ", ",
                           result.detail, "); apply again later");
    return value;
}

void print(context& with, planned_change const& change, applied const& result)
{
    if (result.status == exit_code::success)
    {
        with.out << (change.is_removal ? "removed " : "applied ")
                 << change.path;
        if (result.version > 0)
            with.out << " version " << result.version;
        with.out << '\n';
        return;
    }
    with.err << result.message << '\n' << result.diff;
}

json to_json(planned_change const& change, applied const& result)
{
    json value = {{"path", change.path},
                  {"exit_code", static_cast<int>(result.status)},
                  {"removal", change.is_removal}};
    if (result.status == exit_code::success)
        value["version"] = result.version;
    else
        value["message"] = result.message;
    if (!result.diff.empty())
        value["other_diff"] = result.diff;
    return value;
}

} // namespace

exit_code run_apply(context& with, arguments words)
{
    auto const plan = make_plan(with, words[0]);
    if (!plan.problems.empty())
        print_problems(with, plan.problems);
    if (plan.status != exit_code::success)
        return plan.status;
    json list = json::array();
    std::uint64_t revision = 0;
    std::size_t changed = 0;
    auto status = exit_code::success;
    for (auto const& it : plan.changes)
    {
        auto const result = apply_one(with, it);
        revision = std::max(revision, result.version);
        if (with.flags.is_json)
            list.push_back(to_json(it, result));
        else
            print(with, it, result);
        status = result.status;
        // A later change may rely on this one.
        if (status != exit_code::success)
            break;
        ++changed;
    }
    if (with.flags.is_json)
    {
        with.out << json_text(json{{"changes", list},
                                   {"unchanged", plan.unchanged},
                                   {"revision", revision}});
    }
    else
    {
        with.out << changed << " of " << plan.changes.size()
                 << " changes applied, " << plan.unchanged << " unchanged\n";
    }
    if (status != exit_code::success || revision == 0 || !with.flags.waits)
        return status;
    std::string const wanted = std::to_string(revision);
    return run_wait(with, absl::MakeConstSpan(&wanted, 1));
}

exit_code run_diff(context& with, arguments words)
{
    auto const plan = make_plan(with, words[0]);
    if (plan.status != exit_code::success && plan.status != exit_code::invalid)
        return plan.status;
    json list = json::array();
    for (auto const& it : plan.changes)
    {
        auto const text = diff_of(it);
        if (with.flags.is_json)
            list.push_back({{"path", it.path},
                            {"version", it.stored.version},
                            {"diff", text}});
        else
            with.out << text;
    }
    if (with.flags.is_json)
    {
        with.out << json_text(
            json{{"changes", list}, {"unchanged", plan.unchanged}});
    }
    return plan.changes.empty() ? exit_code::success : exit_code::different;
}

} // namespace buckthornvale::ctl
