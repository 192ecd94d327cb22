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

// Result of one planned change.
struct apply_result
{
    exit_code status = exit_code::success;
    std::uint64_t version = 0;
    std::string message;
    std::string diff; //!< on a conflict: shows the conflicting change
};

objects::write_result write_change(context& ctx, planned_change const& change)
{
    return change.is_removal
               ? ctx.store.remove(change.path, change.expected_version)
               : ctx.store.put(change.path, change.expected_version,
                               change.new_text);
}

// Determines the outcome of a write whose response was lost by reading the
// object back.
objects::write_result confirm_write(context& ctx, planned_change const& change,
                                    objects::write_result result)
{
    auto const read = ctx.store.get(change.path);
    bool const is_written =
        change.is_removal
            ? read.status == call_status::not_found
            : read.is_done() && read.value.version > change.expected_version &&
                  read.value.value == change.new_text;
    if (is_written)
    {
        result.status = call_status::done;
        result.version = read.value.version;
    }
    else if (read.is_done() && read.value.version != change.expected_version)
    {
        result.status = call_status::conflict;
        result.current = read.value;
    }
    return result;
}

apply_result make_conflict_result(context& ctx, planned_change const& change,
                                  objects::write_result const& result)
{
    apply_result value;
    value.status = exit_code::conflict;
    auto const current = result.current.value_or(objects::object{});
    auto base = change.stored.value;
    std::string note;
    if (change.stored.version != change.expected_version)
    {
        // The file's version is not the one that this command read; diff
        // against its text from the history.
        auto const stored_history = read_history(ctx.store, change.path);
        auto const* entry = stored_history.find(change.expected_version);
        base = entry ? entry->text : "";
        if (!entry)
        {
            note = absl::StrCat(". The history has no version ",
                                change.expected_version,
                                ", so the whole stored value is shown");
        }
    }
    auto const other =
        current.version == 0
            ? std::string("(removed)")
            : absl::StrCat(change.path, " version ", current.version);
    value.diff = unified_diff(
        base, current.value,
        absl::StrCat(change.path, " version ", change.expected_version), other);
    value.message = absl::StrCat(
        change.path, ": another change came first (expected version ",
        change.expected_version, ", stored is ", current.version,
        "); nothing was overwritten. Get the object again, repeat your "
        "change on it, and apply it",
        note);
    return value;
}

void record_history(context& ctx, planned_change const& change,
                    std::uint64_t version)
{
    // The first entry holds the value from before the first change.
    if (change.stored.version > 0 &&
        read_history(ctx.store, change.path).entries.empty())
    {
        append_history(
            ctx.store, change.path,
            {change.stored.version, 0, "", change.stored.value, false});
    }
    history_entry const entry{version, ctx.wall_ms(), ctx.flags.author,
                              change.new_text, change.is_removal};
    if (!append_history(ctx.store, change.path, entry))
    {
        ctx.err << change.path
                << ": applied, but its history could not be "
                   "written; no action is needed\n";
    }
}

apply_result apply_change(context& ctx, planned_change const& change)
{
    auto result = write_change(ctx, change);
    if (result.status == call_status::unknown)
        result = confirm_write(ctx, change, std::move(result));
    if (result.status == call_status::conflict)
        return make_conflict_result(ctx, change, result);
    apply_result value;
    value.status = exit_code_for(result.status);
    value.version = result.version;
    if (result.is_done())
    {
        record_history(ctx, change, result.version);
        return value;
    }
    value.message =
        result.status == call_status::unknown
            ? absl::StrCat(change.path, ": the response was lost, so the "
                                        "change may have been applied; check "
                                        "it with `get` before applying again")
            : absl::StrCat(change.path, ": not applied (",
                           std::string(name_of(result.status)), ", ",
                           result.detail, "); apply again later");
    return value;
}

void print_result(context& ctx, planned_change const& change,
                  apply_result const& result)
{
    if (result.status == exit_code::success)
    {
        ctx.out << (change.is_removal ? "removed " : "applied ") << change.path;
        if (result.version > 0)
            ctx.out << " version " << result.version;
        ctx.out << '\n';
        return;
    }
    ctx.err << result.message << '\n' << result.diff;
}

json to_json(planned_change const& change, apply_result const& result)
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

exit_code run_apply(context& ctx, arguments words)
{
    auto const plan = make_plan(ctx, words[0]);
    if (!plan.problems.empty())
        print_problems(ctx, plan.problems);
    if (plan.status != exit_code::success)
        return plan.status;
    json list = json::array();
    std::uint64_t revision = 0;
    std::size_t applied_count = 0;
    auto status = exit_code::success;
    for (auto const& it : plan.changes)
    {
        auto const result = apply_change(ctx, it);
        revision = std::max(revision, result.version);
        if (ctx.flags.is_json)
            list.push_back(to_json(it, result));
        else
            print_result(ctx, it, result);
        status = result.status;
        // Stops, because later changes may depend on this one.
        if (status != exit_code::success)
            break;
        ++applied_count;
    }
    if (ctx.flags.is_json)
    {
        ctx.out << json_text(json{{"changes", list},
                                  {"unchanged", plan.unchanged},
                                  {"revision", revision}});
    }
    else
    {
        ctx.out << applied_count << " of " << plan.changes.size()
                << " changes applied, " << plan.unchanged << " unchanged\n";
    }
    if (status != exit_code::success || revision == 0 || !ctx.flags.waits)
        return status;
    std::string const revision_text = std::to_string(revision);
    return run_wait(ctx, absl::MakeConstSpan(&revision_text, 1));
}

exit_code run_diff(context& ctx, arguments words)
{
    auto const plan = make_plan(ctx, words[0]);
    if (plan.status != exit_code::success && plan.status != exit_code::invalid)
        return plan.status;
    json list = json::array();
    for (auto const& it : plan.changes)
    {
        auto const text = diff_of(it);
        if (ctx.flags.is_json)
            list.push_back({{"path", it.path},
                            {"version", it.stored.version},
                            {"diff", text}});
        else
            ctx.out << text;
    }
    if (ctx.flags.is_json)
    {
        ctx.out << json_text(
            json{{"changes", list}, {"unchanged", plan.unchanged}});
    }
    return plan.changes.empty() ? exit_code::success : exit_code::differs;
}

} // namespace buckthornvale::ctl
