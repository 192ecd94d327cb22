#include <buckthornvale/ctl/burn/burn_report.hpp>
#include <buckthornvale/ctl/cli/json_text.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace buckthornvale::ctl
{

namespace
{

using decision::as_absl;
using decision::index_of;
using decision::name_of;
using nlohmann::json;

std::string time_text(std::int64_t at_ms)
{
    return absl::FormatTime("%Y-%m-%d %H:%M:%S UTC",
                            absl::FromUnixMillis(at_ms), absl::UTCTimeZone());
}

std::string burn_cell(attainment const& value, double objective)
{
    auto const burn = value.burn(objective);
    if (!burn)
        return "-";
    return absl::StrFormat("%.2f (%.2f%%)", *burn, 100. * *value.fraction());
}

void append_rows(std::string& out, burn_report const& report,
                 char const* heading, std::vector<burn_row> const& rows)
{
    absl::StrAppendFormat(&out, "\n%-20s %-11s %10s", heading, "RANK",
                          "OBJECTIVE");
    for (auto const& it : report.windows)
        absl::StrAppendFormat(&out, " %17s", window_name(it.length));
    out += '\n';
    for (auto const& row : rows)
    {
        absl::StrAppendFormat(
            &out, "%-20s %-11s %9.2f%%", row.group.empty() ? "all" : row.group,
            as_absl(name_of(row.work_rank)), 100. * row.objective);
        for (auto const& it : row.windows)
            absl::StrAppendFormat(&out, " %17s", burn_cell(it, row.objective));
        out += '\n';
    }
}

void append_windows(std::string& out, burn_report const& report)
{
    for (auto const& it : report.windows)
    {
        if (it.covered >= it.length)
            continue;
        absl::StrAppendFormat(&out,
                              "window %s is partial: the snapshots cover "
                              "%.0f s of it\n",
                              window_name(it.length),
                              decision::to_seconds(it.covered));
    }
}

void append_costs(std::string& out, burn_report const& report)
{
    double total = 0.;
    for (auto const& it : report.stages)
        total += it.total();
    absl::StrAppendFormat(&out, "\n%-20s %-16s %12s %8s %10s\n", "PIPELINE",
                          "STAGE", "SECONDS", "SHARE", "WASTED");
    for (auto const& it : report.stages)
    {
        auto const share = total > 0. ? it.total() / total : 0.;
        auto const wasted = it.total() > 0. ? it.wasted / it.total() : 0.;
        absl::StrAppendFormat(&out, "%-20s %-16s %12.1f %7.1f%% %9.2f%%\n",
                              it.pipeline, it.stage, it.total(), 100. * share,
                              100. * wasted);
    }
}

void append_ranks(std::string& out, burn_report const& report)
{
    std::array<double, rank_count> seconds{};
    for (auto const& it : report.stages)
    {
        for (std::size_t i = 0; i < rank_count; ++i)
            seconds[i] += it.seconds[i];
    }
    auto const total = seconds[0] + seconds[1] + seconds[2];
    absl::StrAppendFormat(&out, "\n%-11s %10s %10s %9s %9s %9s\n", "RANK",
                          "WORK", "GUARANTEE", "P50 MS", "P95 MS", "P99 MS");
    for (auto it : decision::all_ranks)
    {
        auto const i = index_of(it);
        auto const& latency = report.latencies[i];
        absl::StrAppendFormat(
            &out, "%-11s %9.1f%% %9.1f%% %9.0f %9.0f %9.0f\n",
            as_absl(name_of(it)), total > 0. ? 100. * seconds[i] / total : 0.,
            100. * report.ranks[i].guaranteed_share, 1e3 * latency.p50,
            1e3 * latency.p95, 1e3 * latency.p99);
    }
}

json rows_json(std::vector<burn_row> const& rows, burn_report const& report)
{
    json list = json::array();
    for (auto const& row : rows)
    {
        json windows = json::object();
        for (std::size_t i = 0; i < row.windows.size(); ++i)
        {
            auto const& it = row.windows[i];
            auto const burn = it.burn(row.objective);
            windows[window_name(report.windows[i].length)] = {
                {"requests", it.requests},
                {"in_target", it.in_target},
                {"attainment", burn ? json(*it.fraction()) : json()},
                {"burn", burn ? json(*burn) : json()}};
        }
        list.push_back({{"rank", name_of(row.work_rank)},
                        {"group", row.group},
                        {"objective", row.objective},
                        {"windows", windows}});
    }
    return list;
}

json stages_json(burn_report const& report)
{
    json list = json::array();
    for (auto const& it : report.stages)
    {
        list.push_back({{"pipeline", it.pipeline},
                        {"stage", it.stage},
                        {"seconds",
                         {{"urgent", it.seconds[0]},
                          {"standard", it.seconds[1]},
                          {"background", it.seconds[2]}}},
                        {"wasted_seconds", it.wasted}});
    }
    return list;
}

json points_json(burn_report const& report)
{
    json list = json::array();
    for (auto const& it : report.points)
    {
        json point = {{"at_ms", it.at_ms}};
        for (auto work_rank : decision::all_ranks)
        {
            auto const i = index_of(work_rank);
            point[std::string(name_of(work_rank))] = {
                {"requests", it.ranks[i].requests},
                {"in_target", it.ranks[i].in_target},
                {"stage_seconds", it.stage_seconds[i]}};
        }
        list.push_back(std::move(point));
    }
    return list;
}

} // namespace

std::string burn_text(burn_report const& report)
{
    auto out = absl::StrFormat(
        "error budget burn (attainment), %s to %s, %d VMs\n",
        time_text(report.from_ms), time_text(report.to_ms), report.vms);
    append_windows(out, report);
    append_rows(out, report, "ALL", report.by_rank);
    append_rows(out, report, "PIPELINE", report.by_pipeline);
    append_rows(out, report, "ORGANISATION", report.by_organisation);
    append_costs(out, report);
    append_ranks(out, report);
    return out;
}

std::string burn_json(burn_report const& report)
{
    json windows = json::array();
    for (auto const& it : report.windows)
    {
        windows.push_back(
            {{"name", window_name(it.length)},
             {"seconds", decision::to_seconds(it.length)},
             {"covered_seconds", decision::to_seconds(it.covered)}});
    }
    json latencies = json::object();
    for (auto it : decision::all_ranks)
    {
        auto const& value = report.latencies[index_of(it)];
        latencies[std::string(name_of(it))] = {{"p50_seconds", value.p50},
                                               {"p95_seconds", value.p95},
                                               {"p99_seconds", value.p99}};
    }
    json const body = {
        {"from_ms", report.from_ms},
        {"to_ms", report.to_ms},
        {"vms", report.vms},
        {"windows", windows},
        {"by_rank", rows_json(report.by_rank, report)},
        {"by_pipeline", rows_json(report.by_pipeline, report)},
        {"by_organisation", rows_json(report.by_organisation, report)},
        {"stages", stages_json(report)},
        {"latencies", latencies},
        {"points", points_json(report)}};
    return json_text(body);
}

} // namespace buckthornvale::ctl
