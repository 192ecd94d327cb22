#include "burn_plots.hpp"

#include "svg.hpp"
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cmath>

namespace buckthornvale::ctl
{

namespace
{

using decision::as_absl;
using decision::index_of;

// Sizes in SVG user units.
constexpr double plot_width = 1000.;
constexpr double margin_left = 64.;
constexpr double margin_right = 150.; // leaves room for labels at the line ends
constexpr double margin_top = 14.;
constexpr double margin_bottom = 30.;
constexpr double plot_height = 260.;
constexpr double row_height = 26.;
constexpr double baseline_offset = 4.;     // centres text vertically on y
constexpr double min_label_distance = 15.; // between baselines of edge labels

constexpr std::size_t max_stages = 16;

std::string css_class(char const* kind, rank value)
{
    return absl::StrCat(kind, " ", as_absl(decision::name_of(value)));
}

std::string time_of_day(std::int64_t at_ms, std::int64_t span_ms)
{
    constexpr std::int64_t day_ms = 86'400'000;
    constexpr std::int64_t quarter_ms = 900'000;
    auto const* format = span_ms > day_ms       ? "%m-%d %H:%M"
                         : span_ms > quarter_ms ? "%H:%M"
                                                : "%H:%M:%S";
    return absl::FormatTime(format, absl::FromUnixMillis(at_ms),
                            absl::UTCTimeZone());
}

// Maps times and values to the coordinates of a plot.
struct plot_area
{
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 1;
    double lowest = 0.;
    double highest = 1.;

    double x(std::int64_t at_ms) const
    {
        auto const span =
            static_cast<double>(std::max<std::int64_t>(to_ms - from_ms, 1));
        return margin_left + (plot_width - margin_left - margin_right) *
                                 static_cast<double>(at_ms - from_ms) / span;
    }

    double y(double value) const
    {
        auto const part = (value - lowest) / (highest - lowest);
        return margin_top + (plot_height - margin_top - margin_bottom) *
                                (1. - std::clamp(part, 0., 1.));
    }
};

plot_area make_plot_area(burn_report const& report, double lowest,
                         double highest)
{
    plot_area value;
    value.lowest = lowest;
    value.highest = highest;
    // The first point marks the end of the first interval, so the plot starts
    // there.
    value.from_ms =
        report.points.size() > 1 ? report.points.front().at_ms : report.from_ms;
    value.to_ms = report.to_ms;
    return value;
}

void draw_time_axis(svg_picture& picture, plot_area const& area)
{
    constexpr int ticks = 5;
    auto const span = area.to_ms - area.from_ms;
    for (int i = 0; i <= ticks; ++i)
    {
        auto const at = area.from_ms + span * i / ticks;
        picture.text(area.x(at), plot_height - 8., time_of_day(at, span),
                     "middle", "axis");
    }
}

void draw_value_axis(svg_picture& picture, plot_area const& area)
{
    constexpr int ticks = 4;
    for (int i = 0; i <= ticks; ++i)
    {
        auto const value =
            area.lowest + (area.highest - area.lowest) * i / ticks;
        auto const y = area.y(value);
        picture.line(margin_left, y, plot_width - margin_right, y, "grid");
        picture.text(margin_left - 8., y + baseline_offset,
                     absl::StrFormat("%.4g%%", 100. * value), "end", "axis");
    }
}

// A label at the right edge of a plot. Labels that would overlap are moved
// apart.
struct edge_label
{
    double y;
    std::string text;
    std::string css_class;
};

void draw_edge_labels(svg_picture& picture, std::vector<edge_label> labels)
{
    std::sort(labels.begin(), labels.end(),
              [](auto const& a, auto const& b) { return a.y < b.y; });
    double next = margin_top + baseline_offset;
    for (auto const& it : labels)
    {
        auto const y = std::max(it.y + baseline_offset, next);
        picture.text(plot_width - margin_right + 10., y, it.text, "start",
                     it.css_class);
        next = y + min_label_distance;
    }
}

double highest_burn(burn_report const& report)
{
    // Keeps the line at a burn of 1 visible, with room above it.
    double highest = 1.25;
    for (auto const& row : report.by_rank)
    {
        for (auto const& it : row.windows)
            highest = std::max(highest, it.burn(row.objective).value_or(0.));
    }
    return highest;
}

double lowest_attainment(burn_report const& report)
{
    double lowest = 1.;
    for (auto work_rank : decision::all_ranks)
    {
        auto const i = index_of(work_rank);
        lowest = std::min(lowest, report.ranks[i].objective);
        for (auto const& it : report.points)
            lowest = std::min(lowest, it.ranks[i].fraction().value_or(1.));
    }
    // Rounds down to a tenth, with a margin below the lowest line.
    return std::max(0., std::floor(lowest * 10. - 0.2) / 10.);
}

} // namespace

std::string plot_burn(burn_report const& report)
{
    auto const rows = report.by_rank.size() * report.windows.size();
    auto const height = margin_top + margin_bottom +
                        row_height * static_cast<double>(rows) +
                        12. * static_cast<double>(report.by_rank.size());
    constexpr double name_width = 170.;
    svg_picture picture(plot_width, height, "error budget burn by rank");
    auto const highest = highest_burn(report);
    auto const x = [&](double burn)
    {
        return name_width +
               (plot_width - name_width - margin_right) * burn / highest;
    };
    double y = margin_top;
    for (auto const& row : report.by_rank)
    {
        picture.text(0., y + row_height / 2. + baseline_offset,
                     decision::name_of(row.work_rank), "start",
                     css_class("label", row.work_rank));
        for (std::size_t i = 0; i < row.windows.size(); ++i, y += row_height)
        {
            auto const window = window_name(report.windows[i].length);
            auto const middle = y + row_height / 2.;
            picture.text(name_width - 10., middle + baseline_offset, window,
                         "end", "axis");
            auto const burn = row.windows[i].burn(row.objective);
            if (!burn)
            {
                picture.text(name_width + 6., middle + baseline_offset,
                             "no requests", "start", "axis");
                continue;
            }
            auto const& counts = row.windows[i];
            auto const tooltip =
                absl::StrFormat("%s, %s: %.0f of %.0f requests in target",
                                as_absl(decision::name_of(row.work_rank)),
                                window, counts.in_target, counts.requests);
            picture.rectangle(
                name_width, y + 4., std::max(x(*burn) - name_width, 1.5),
                row_height - 8., css_class("bar", row.work_rank), tooltip);
            picture.text(x(*burn) + 8., middle + baseline_offset,
                         absl::StrFormat("%.2f", *burn), "start", "value");
        }
        y += 12.;
    }
    picture.line(x(1.), margin_top - 6., x(1.), height - margin_bottom + 4.,
                 "limit");
    picture.text(x(1.), height - 10., "1: the budget is used up exactly",
                 "middle", "axis");
    return picture.finish();
}

std::string plot_attainment(burn_report const& report)
{
    svg_picture picture(plot_width, plot_height, "attainment over time");
    auto const area = make_plot_area(report, lowest_attainment(report), 1.);
    draw_value_axis(picture, area);
    draw_time_axis(picture, area);
    std::vector<edge_label> labels;
    for (auto work_rank : decision::all_ranks)
    {
        auto const i = index_of(work_rank);
        auto const objective = area.y(report.ranks[i].objective);
        picture.line(margin_left, objective, plot_width - margin_right,
                     objective, css_class("objective", work_rank));
        svg_picture::points_t line;
        for (auto const& it : report.points)
        {
            if (auto const reached = it.ranks[i].fraction())
                line.emplace_back(area.x(it.at_ms), area.y(*reached));
        }
        if (line.empty())
            continue;
        picture.polyline(line, css_class("series", work_rank));
        for (auto const& it : report.points)
        {
            auto const reached = it.ranks[i].fraction();
            if (!reached)
                continue;
            picture.dot(area.x(it.at_ms), area.y(*reached),
                        css_class("dot", work_rank),
                        absl::StrFormat("%s at %s: %.2f%% of %.0f requests",
                                        as_absl(decision::name_of(work_rank)),
                                        time_of_day(it.at_ms, 0),
                                        100. * *reached, it.ranks[i].requests));
        }
        labels.push_back({line.back().second,
                          std::string(decision::name_of(work_rank)),
                          css_class("label", work_rank)});
    }
    draw_edge_labels(picture, std::move(labels));
    return picture.finish();
}

std::string plot_shares(burn_report const& report)
{
    svg_picture picture(plot_width, plot_height, "share of runner time");
    auto const area = make_plot_area(report, 0., 1.);
    std::vector<edge_label> labels;
    // Sum of the shares of the ranks drawn so far, by point.
    std::vector<double> stacked_shares(report.points.size(), 0.);
    double guaranteed = 0.;
    for (auto work_rank : decision::all_ranks)
    {
        auto const i = index_of(work_rank);
        svg_picture::points_t lower;
        svg_picture::points_t upper;
        double last_middle = 0.;
        for (std::size_t n = 0; n < report.points.size(); ++n)
        {
            auto const& it = report.points[n];
            auto const total =
                it.stage_seconds[0] + it.stage_seconds[1] + it.stage_seconds[2];
            // Without any work all shares are 0, but the point stays in the
            // plot.
            auto const share = total > 0. ? it.stage_seconds[i] / total : 0.;
            lower.emplace_back(area.x(it.at_ms), area.y(stacked_shares[n]));
            last_middle = area.y(stacked_shares[n] + share / 2.);
            stacked_shares[n] += share;
            upper.emplace_back(area.x(it.at_ms), area.y(stacked_shares[n]));
        }
        auto outline = upper;
        outline.insert(outline.end(), lower.rbegin(), lower.rend());
        picture.polygon(outline, css_class("area", work_rank));
        guaranteed += report.ranks[i].guaranteed_share;
        labels.push_back(
            {last_middle,
             absl::StrFormat("%s (%.0f%%)",
                             as_absl(decision::name_of(work_rank)),
                             100. * report.ranks[i].guaranteed_share),
             css_class("label", work_rank)});
    }
    draw_value_axis(picture, area);
    draw_time_axis(picture, area);
    // Boundaries between the ranks if each used exactly its guaranteed share.
    double sum = 0.;
    for (auto work_rank : decision::all_ranks)
    {
        sum += report.ranks[index_of(work_rank)].guaranteed_share;
        if (guaranteed > 0. && sum < 1.)
        {
            picture.line(margin_left, area.y(sum), plot_width - margin_right,
                         area.y(sum), "limit");
        }
    }
    draw_edge_labels(picture, std::move(labels));
    return picture.finish();
}

std::string plot_costs(burn_report const& report)
{
    auto const rows = std::min(report.stages.size(), max_stages);
    auto const height =
        margin_top + row_height * static_cast<double>(rows) + 10.;
    constexpr double name_width = 260.;
    constexpr double value_width = 200.;        // room for the text after a bar
    constexpr std::size_t max_name_length = 34; // that fits before a bar
    svg_picture picture(plot_width, height, "cost by stage");
    double highest = 1e-9;
    for (auto const& it : report.stages)
        highest = std::max(highest, it.total());
    auto const scale = (plot_width - name_width - value_width) / highest;
    double y = margin_top;
    for (std::size_t n = 0; n < rows; ++n, y += row_height)
    {
        auto const& it = report.stages[n];
        auto const name = absl::StrCat(it.pipeline, " / ", it.stage);
        auto const middle = y + row_height / 2. + baseline_offset;
        picture.text(name_width - 10., middle,
                     name.size() > max_name_length
                         ? name.substr(0, max_name_length - 3) + "..."
                         : name,
                     "end", "axis");
        double x = name_width;
        for (auto work_rank : decision::all_ranks)
        {
            auto const seconds = it.seconds[index_of(work_rank)];
            if (seconds <= 0.)
                continue;
            picture.rectangle(
                x, y + 4., seconds * scale, row_height - 8.,
                css_class("bar", work_rank),
                absl::StrFormat("%s, %s: %.1f s", name,
                                as_absl(decision::name_of(work_rank)),
                                seconds));
            x += seconds * scale;
        }
        if (it.wasted > 0.)
        {
            picture.rectangle(
                name_width, y + row_height - 7.,
                std::max(it.wasted * scale, 1.5), 4., "wasted",
                absl::StrFormat("%s: %.1f s wasted", name, it.wasted));
        }
        auto const share = it.total() > 0. ? it.wasted / it.total() : 0.;
        picture.text(
            x + 8., middle,
            absl::StrFormat("%.1f s, %.1f%% wasted", it.total(), 100. * share),
            "start", "value");
    }
    return picture.finish();
}

} // namespace buckthornvale::ctl
