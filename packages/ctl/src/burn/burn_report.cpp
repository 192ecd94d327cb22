#include <buckthornvale/ctl/burn/burn_report.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

namespace buckthornvale::ctl
{

namespace
{

using decision::index_of;

constexpr char const* requests_total = "buckthornvale_requests_total";
constexpr char const* in_target_total =
    "buckthornvale_requests_in_target_total";
constexpr char const* stage_seconds_total = "buckthornvale_stage_seconds_total";
constexpr char const* wasted_seconds_total =
    "buckthornvale_wasted_stage_seconds_total";
constexpr char const* latency_bucket = "buckthornvale_request_seconds_bucket";

using row_key = std::pair<std::string, rank>;
using rows_t = std::map<row_key, burn_row>;

void add_counter(attainment& into, series const& key, double value)
{
    if (key.name == requests_total)
        into.requests += value;
    else if (key.name == in_target_total)
        into.in_target += value;
}

bool is_request_series(series const& key)
{
    return key.name == requests_total || key.name == in_target_total;
}

// Adds the sums of one window to the rows, grouped by a label; without a label
// all series of a rank form one group.
void add_window(rows_t& rows, series_values const& sums, std::size_t window,
                char const* label, burn_report const& report)
{
    for (auto const& [key, value] : sums)
    {
        auto const work_rank = decision::parse_rank(key.label("rank"));
        if (!work_rank || !is_request_series(key))
            continue;
        auto const group = label ? key.label(label) : std::string();
        auto& row = rows[{group, *work_rank}];
        row.work_rank = *work_rank;
        row.group = group;
        row.objective = report.ranks[index_of(*work_rank)].objective;
        row.windows.resize(report.windows.size());
        add_counter(row.windows[window], key, value);
    }
}

std::vector<burn_row> list_rows(rows_t const& rows)
{
    std::vector<burn_row> values;
    values.reserve(rows.size());
    for (auto const& [key, row] : rows)
        values.push_back(row);
    return values;
}

double highest_burn(burn_row const& row)
{
    double highest = -1.;
    for (auto const& it : row.windows)
        highest = std::max(highest, it.burn(row.objective).value_or(-1.));
    return highest;
}

std::vector<stage_cost> costs_of(series_values const& sums)
{
    std::map<std::pair<std::string, std::string>, stage_cost> costs;
    for (auto const& [key, value] : sums)
    {
        bool const is_wasted = key.name == wasted_seconds_total;
        if (!is_wasted && key.name != stage_seconds_total)
            continue;
        auto& cost = costs[{key.label("pipeline"), key.label("stage")}];
        cost.pipeline = key.label("pipeline");
        cost.stage = key.label("stage");
        if (is_wasted)
            cost.wasted += value;
        else if (auto const it = decision::parse_rank(key.label("rank")))
            cost.seconds[index_of(*it)] += value;
    }
    std::vector<stage_cost> values;
    values.reserve(costs.size());
    for (auto const& [key, cost] : costs)
        values.push_back(cost);
    std::stable_sort(values.begin(), values.end(),
                     [](auto const& a, auto const& b)
                     { return a.total() > b.total(); });
    return values;
}

burn_point make_point(interval const& step)
{
    burn_point point;
    point.at_ms = step.to_ms;
    for (auto const& [key, value] : step.increases)
    {
        auto const work_rank = decision::parse_rank(key.label("rank"));
        if (!work_rank)
            continue;
        add_counter(point.ranks[index_of(*work_rank)], key, value);
        if (key.name == stage_seconds_total)
            point.stage_seconds[index_of(*work_rank)] += value;
    }
    return point;
}

// Cumulative counts by upper bound in seconds.
using buckets_t = std::map<double, double>;

// Interpolates linearly within a bucket. A quantile in the +Inf bucket yields
// the last finite bound.
double quantile(buckets_t const& buckets, double q)
{
    if (buckets.empty() || buckets.rbegin()->second <= 0.)
        return 0.;
    auto const wanted = q * buckets.rbegin()->second;
    double bound = 0.;
    double count = 0.;
    for (auto const& [upper, cumulative] : buckets)
    {
        if (cumulative >= wanted && cumulative > count)
        {
            if (upper == std::numeric_limits<double>::infinity())
                return bound;
            return bound +
                   (upper - bound) * (wanted - count) / (cumulative - count);
        }
        bound = upper;
        count = cumulative;
    }
    return bound;
}

std::array<latency_quantiles, rank_count>
latencies_of(series_values const& sums)
{
    std::array<buckets_t, rank_count> buckets;
    for (auto const& [key, value] : sums)
    {
        auto const work_rank = decision::parse_rank(key.label("rank"));
        double bound = 0.;
        // SimpleAtod also parses "+Inf".
        if (key.name == latency_bucket && work_rank &&
            absl::SimpleAtod(key.label("le"), &bound))
            buckets[index_of(*work_rank)][bound] += value;
    }
    std::array<latency_quantiles, rank_count> values;
    for (std::size_t i = 0; i < rank_count; ++i)
    {
        values[i] = {quantile(buckets[i], 0.5), quantile(buckets[i], 0.95),
                     quantile(buckets[i], 0.99)};
    }
    return values;
}

// Sums the increases of the intervals in the window and sets the time that
// they cover.
series_values sum_window(std::vector<interval> const& intervals,
                         burn_window& window)
{
    series_values sums;
    if (intervals.empty())
        return sums;
    auto const end = intervals.back().to_ms;
    auto const length =
        std::chrono::duration_cast<std::chrono::milliseconds>(window.length)
            .count();
    for (auto it = intervals.rbegin(); it != intervals.rend(); ++it)
    {
        // An interval that straddles the start of the window still counts,
        // unless the later intervals already cover the window.
        if (it->to_ms <= end - length)
            break;
        for (auto const& [key, value] : it->increases)
            sums[key] += value;
        window.covered = std::chrono::milliseconds(end - it->from_ms);
    }
    return sums;
}

} // namespace

std::optional<double> attainment::fraction() const
{
    if (requests <= 0.)
        return std::nullopt;
    // A scrape is not atomic: the in-target counter may be ahead of the request
    // counter.
    return std::min(1., in_target / requests);
}

std::optional<double> attainment::burn(double objective) const
{
    auto const reached = fraction();
    if (!reached)
        return std::nullopt;
    return (1. - *reached) / (1. - objective);
}

burn_report make_burn_report(std::vector<snapshot> const& snapshots,
                             decision::rank_table const& ranks,
                             std::vector<decision::duration> const& windows,
                             std::size_t max_organisations)
{
    burn_report report;
    report.ranks = ranks;
    report.windows.reserve(windows.size());
    for (auto it : windows)
        report.windows.push_back({it, {}});
    if (snapshots.empty())
        return report;
    report.from_ms = snapshots.front().at_ms;
    report.to_ms = snapshots.back().at_ms;
    report.vms = snapshots.back().vms.size();
    auto const intervals = intervals_of(snapshots);
    rows_t by_rank;
    rows_t by_pipeline;
    rows_t by_organisation;
    series_values sums;
    for (std::size_t i = 0; i < windows.size(); ++i)
    {
        sums = sum_window(intervals, report.windows[i]);
        add_window(by_rank, sums, i, nullptr, report);
        add_window(by_pipeline, sums, i, "pipeline", report);
        add_window(by_organisation, sums, i, "organisation", report);
    }
    report.by_rank = list_rows(by_rank);
    report.by_pipeline = list_rows(by_pipeline);
    report.by_organisation = list_rows(by_organisation);
    auto& worst = report.by_organisation;
    std::stable_sort(worst.begin(), worst.end(),
                     [](auto& a, auto& b)
                     { return highest_burn(a) > highest_burn(b); });
    worst.resize(std::min(worst.size(), max_organisations));
    // After the loop, `sums` holds the longest window.
    report.stages = costs_of(sums);
    report.latencies = latencies_of(sums);
    report.points.reserve(intervals.size());
    for (auto const& it : intervals)
        report.points.push_back(make_point(it));
    return report;
}

std::string window_name(decision::duration length)
{
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(length).count();
    constexpr std::int64_t minute = 60;
    constexpr std::int64_t hour = 60 * minute;
    if (seconds % hour == 0)
        return absl::StrCat(seconds / hour, "h");
    if (seconds % minute == 0)
        return absl::StrCat(seconds / minute, "m");
    return absl::StrCat(seconds, "s");
}

} // namespace buckthornvale::ctl
