#include "burn_plots.hpp"
#include "svg.hpp"
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

namespace buckthornvale::ctl
{

namespace
{

using decision::as_absl;
using decision::index_of;

// The hues of the three ranks stay distinguishable with the common colour
// vision deficiencies.
constexpr char const* page_css = R"(
:root { --page: #f6f7f9; --card: #ffffff; --ink: #1c2430; --soft: #5c6776;
  --rule: #dfe3e8; --urgent: #c8500a; --standard: #1f6fb2;
  --background: #1b8a6b; --bad: #b3261e; --warn: #8a5a00; --good: #1b7a4b; }
@media (prefers-color-scheme: dark) {
  :root { --page: #12161c; --card: #1b212a; --ink: #e6eaf0; --soft: #9aa6b5;
    --rule: #2e3744; --urgent: #f0883e; --standard: #58a6e8;
    --background: #3fbf97; --bad: #ff7b72; --warn: #e3b341;
    --good: #56d394; } }
* { box-sizing: border-box; }
body { margin: 0; background: var(--page); color: var(--ink);
  font: 15px/1.5 system-ui, sans-serif; }
main { max-width: 1080px; margin: 0 auto; padding: 32px 20px 64px; }
h1 { font-size: 26px; margin: 0; }
h2 { font-size: 18px; margin: 0 0 2px; }
p { margin: 4px 0 12px; color: var(--soft); }
section { background: var(--card); border: 1px solid var(--rule);
  border-radius: 10px; padding: 18px 20px; margin-top: 18px;
  overflow-x: auto; }
.cards { display: grid; gap: 14px; margin-top: 18px;
  grid-template-columns: repeat(auto-fit, minmax(240px, 1fr)); }
.card { background: var(--card); border: 1px solid var(--rule);
  border-top: 4px solid; border-radius: 10px; padding: 14px 18px; }
.card.urgent { border-top-color: var(--urgent); }
.card.standard { border-top-color: var(--standard); }
.card.background { border-top-color: var(--background); }
.card b { display: block; font-size: 30px; line-height: 1.2; }
.card small { color: var(--soft); }
svg { width: 100%; height: auto; display: block; }
svg text { font: 13px system-ui, sans-serif; fill: var(--ink); }
svg .axis { fill: var(--soft); }
svg .value { font-variant-numeric: tabular-nums; }
svg .label { font-weight: 600; }
.label.urgent, .bar.urgent, .area.urgent, .dot.urgent { fill: var(--urgent); }
.label.standard, .bar.standard, .area.standard, .dot.standard {
  fill: var(--standard); }
.label.background, .bar.background, .area.background, .dot.background {
  fill: var(--background); }
.area { opacity: .75; }
.series { fill: none; stroke-width: 2.2; stroke-linejoin: round; }
.objective { stroke-width: 1.2; stroke-dasharray: 5 4; opacity: .8; }
.series.urgent, .objective.urgent { stroke: var(--urgent); }
.series.standard, .objective.standard { stroke: var(--standard); }
.series.background, .objective.background { stroke: var(--background); }
.grid { stroke: var(--rule); stroke-width: 1; }
.limit { stroke: var(--ink); stroke-width: 1.4; stroke-dasharray: 2 3; }
.wasted { fill: var(--bad); }
table { border-collapse: collapse; width: 100%; }
th, td { padding: 5px 10px; text-align: right;
  border-bottom: 1px solid var(--rule); font-variant-numeric: tabular-nums; }
th { color: var(--soft); font-weight: 600; }
th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
.bad { color: var(--bad); font-weight: 700; }
.warn { color: var(--warn); font-weight: 700; }
.good { color: var(--good); }
)";

std::string time_text(std::int64_t at_ms)
{
    return absl::FormatTime("%Y-%m-%d %H:%M:%S UTC",
                            absl::FromUnixMillis(at_ms), absl::UTCTimeZone());
}

// A burn above 1 exhausts the error budget early; one above 0.5 is a warning.
char const* burn_class(double burn)
{
    constexpr double half = 0.5;
    return burn > 1. ? "bad" : burn > half ? "warn" : "good";
}

std::string burn_cell(attainment const& value, double objective)
{
    auto const burn = value.burn(objective);
    if (!burn)
        return "<td>-</td>";
    return absl::StrFormat(
        "<td title=\"%.0f of %.0f requests in target\"><span class=\"%s\">"
        "%.2f</span> <small>%.2f%%</small></td>",
        value.in_target, value.requests, burn_class(*burn), *burn,
        100. * *value.fraction());
}

void append_cards(std::string& page, burn_report const& report)
{
    page += "<div class=\"cards\">\n";
    for (auto const& row : report.by_rank)
    {
        auto const name = decision::name_of(row.work_rank);
        auto const& latency = report.latencies[index_of(row.work_rank)];
        auto const& longest = row.windows.back();
        auto const reached = longest.fraction();
        absl::StrAppendFormat(
            &page,
            "<div class=\"card %s\"><small>%s, within %.0f ms</small>"
            "<b>%s</b><small>objective %.2f%%, %.0f requests, p95 %.0f ms"
            "</small></div>\n",
            as_absl(name), as_absl(name),
            1e3 * decision::to_seconds(
                      report.ranks[index_of(row.work_rank)].target),
            reached ? absl::StrFormat("%.2f%%", 100. * *reached) : "-",
            100. * row.objective, longest.requests, 1e3 * latency.p95);
    }
    page += "</div>\n";
}

void append_section(std::string& page, char const* heading, char const* text,
                    std::string const& body)
{
    absl::StrAppend(&page, "<section><h2>", heading, "</h2><p>", text, "</p>\n",
                    body, "</section>\n");
}

std::string table_of(burn_report const& report, char const* heading,
                     std::vector<burn_row> const& rows)
{
    auto table = absl::StrCat("<table><thead><tr><th>", heading,
                              "</th><th>rank</th>"
                              "<th>objective</th>");
    for (auto const& it : report.windows)
    {
        absl::StrAppend(&table, "<th>", window_name(it.length),
                        it.covered < it.length ? " (partial)" : "", "</th>");
    }
    table += "</tr></thead><tbody>\n";
    for (auto const& row : rows)
    {
        absl::StrAppend(
            &table, "<tr><td>", escape_markup(row.group), "</td><td>",
            as_absl(decision::name_of(row.work_rank)), "</td><td>",
            absl::StrFormat("%.2f%%", 100. * row.objective), "</td>");
        for (auto const& it : row.windows)
            table += burn_cell(it, row.objective);
        table += "</tr>\n";
    }
    return table + "</tbody></table>\n";
}

void append_head(std::string& page, burn_report const& report)
{
    absl::StrAppend(&page,
                    "<!doctype html>\n<html lang=\"en\"><head>"
                    "<meta charset=\"utf-8\">"
                    "<meta name=\"viewport\" content=\"width=device-width\">"
                    "<title>Error budget burn</title><style>",
                    page_css, "</style></head><body><main>\n");
    absl::StrAppendFormat(
        &page, "<h1>Error budget burn</h1><p>%s to %s, %d VMs</p>\n",
        time_text(report.from_ms), time_text(report.to_ms), report.vms);
}

} // namespace

std::string burn_html(burn_report const& report)
{
    std::string page;
    append_head(page, report);
    append_cards(page, report);
    append_section(page, "Burn by rank",
                   "Share of requests that missed the target, divided by "
                   "what the objective allows, over each window.",
                   plot_burn(report));
    append_section(page, "Attainment",
                   "Requests within the target, by sample; dashed: "
                   "objective.",
                   plot_attainment(report));
    append_section(page, "Flood shares",
                   "Share of runner time by rank; in brackets and dotted: the "
                   "guaranteed shares.",
                   plot_shares(report));
    append_section(page, "Cost by stage",
                   "Runner time by rank in the longest window; the red strip "
                   "is work whose result was never delivered.",
                   plot_costs(report));
    append_section(page, "Pipelines", "Burn and attainment by window.",
                   table_of(report, "pipeline", report.by_pipeline));
    append_section(page, "Organisations", "Those with the highest burn first.",
                   table_of(report, "organisation", report.by_organisation));
    return page + "</main></body></html>\n";
}

} // namespace buckthornvale::ctl
