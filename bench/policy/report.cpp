#include "report.hpp"

#include <buckthornvale/decision/admission/capacity_share.hpp>

#include <absl/strings/str_format.h>

#include <algorithm>
#include <limits>

namespace buckthornvale::bench
{

namespace
{

double ratio(double part, double whole)
{
    return whole > 0.0 ? part / whole : 1.0;
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0.0;
    auto const n =
        static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(n),
                     values.end());
    return values[n];
}

//! Jain index of service over max-min fair service, by expected work.
double jain_index(std::vector<double> const& demand,
                  std::vector<double> const& served)
{
    double total = 0.0;
    std::vector<decision::admission::weighted_demand> demands;
    for (std::size_t n = 0; n < demand.size(); ++n)
    {
        total += served[n];
        demands.push_back({demand[n], 1.0});
    }
    auto const level = decision::admission::max_min_fair_level(demands, total);
    double sum = 0.0;
    double squares = 0.0;
    double count = 0.0;
    for (std::size_t n = 0; n < demand.size(); ++n)
    {
        if (demand[n] <= 0.0)
            continue;
        auto const x = served[n] / std::min(demand[n], level);
        sum += x;
        squares += x * x;
        count += 1.0;
    }
    return ratio(sum * sum, count * squares);
}

constexpr std::array<std::string_view, stage_kind_count> stage_names = {
    "encode", "rerank", "generate", "plain"};

} // namespace

figures summarise(deployment const& shape, scenario const& load,
                  run_result const& result, figures const* normal)
{
    figures out;
    std::array<double, rank_count> offered{};
    std::array<double, rank_count> in_time{};
    std::vector<double> demand(load.callers.size());
    std::vector<double> served(load.callers.size());
    std::vector<double> slowdowns;
    std::vector<double> waits;
    std::vector<double> services;
    for (auto const& it : result.outcomes)
    {
        auto const r = index_of(it.work_rank);
        auto const work = shape.total_work(it.work_rank);
        offered[r] += 1.0;
        in_time[r] += it.in_time ? 1.0 : 0.0;
        demand[it.caller] += work;
        served[it.caller] += it.in_time ? work : 0.0;
        if (load.callers[it.caller].small && it.in_time)
        {
            waits.push_back(it.waited / work);
            services.push_back(it.served / work);
        }
        if (load.callers[it.caller].small)
            slowdowns.push_back(it.in_time
                                    ? it.latency / work
                                    : std::numeric_limits<double>::infinity());
    }
    auto const total_in_time = in_time[0] + in_time[1] + in_time[2];
    double all_work = 0.0;
    for (std::size_t k = 0; k < stage_kind_count; ++k)
    {
        all_work += result.stage_work[k];
        out.stage_cost[k] = ratio(result.stage_work[k], total_in_time);
    }
    auto const slots = shape.slots(0) * (load.halve_models ? 0.5 : 1.0);
    for (auto r : decision::all_ranks)
    {
        auto const i = index_of(r);
        out.attainment[i] = ratio(in_time[i], offered[i]);
        out.goodput[i] = in_time[i] / result.seconds;
        out.worth_per_second += out.goodput[i] * shape.ranks[i].worth;
        auto const guaranteed =
            shape.ranks[i].guaranteed_share * slots * result.seconds;
        // Expected work, so that fast and slow runners count alike.
        out.guarantee_kept[i] =
            ratio(in_time[i] * shape.work(r, 0),
                  std::min(guaranteed, offered[i] * shape.work(r, 0)));
        out.goodput_kept[i] =
            normal == nullptr ? 1.0 : ratio(out.goodput[i], normal->goodput[i]);
    }
    out.jain = jain_index(demand, served);
    out.small_p95 = quantile(slowdowns, 0.95);
    out.small_p95_against_normal =
        normal == nullptr ? 1.0 : ratio(out.small_p95, normal->small_p95);
    out.small_p95_wait = quantile(waits, 0.95);
    out.small_p95_service = quantile(services, 0.95);
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        out.wasted_by_rank[r] =
            all_work > 0.0 ? result.wasted_work[r] / all_work : 0.0;
        out.wasted += out.wasted_by_rank[r];
    }
    out.spread_ratio = ratio(served[0], served[1]);
    return out;
}

std::vector<target_check> check_targets(scenario const& load, figures const& it,
                                        figures const& normal)
{
    std::vector<target_check> out;
    auto const at_least = [&](std::string name, double value, double bound) {
        out.push_back({std::move(name), value, bound, value >= bound});
    };
    auto const at_most = [&](std::string name, double value, double bound) {
        out.push_back({std::move(name), value, bound, value <= bound});
    };
    if (load.name == "flood_background")
    {
        at_most("urgent attainment lost",
                normal.attainment[0] - it.attainment[0], 0.01);
        at_least("standard goodput kept", it.goodput_kept[1], 0.90);
    }
    if (load.name == "flood_urgent")
    {
        at_least("standard guarantee kept", it.guarantee_kept[1], 0.95);
        at_least("background guarantee kept", it.guarantee_kept[2], 0.95);
    }
    if (load.name == "tenfold_caller")
        at_most("small p95 slowdown", it.small_p95_against_normal, 1.2);
    if (load.name == "twice_capacity")
        at_most("wasted stage work", it.wasted, 0.02);
    return out;
}

std::string table_heading(deployment const& shape, scenario const& load)
{
    return absl::StrFormat(
        "\n%s / %s\n%-16s %-20s %8s %-17s %-17s %6s %6s %7s %6s %-27s %s\n",
        shape.name, load.name, "policy", "attainment u/s/b", "worth/s",
        "goodput kept", "guarantee kept", "jain", "p95", "waste", "spread",
        "cost en/re/ge/pl (ms)", "targets");
}

std::string table_line(policy const& rule, figures const& it,
                       std::vector<target_check> const& checks)
{
    auto const three = [](std::array<double, rank_count> const& v)
    { return absl::StrFormat("%.3f %.3f %.3f", v[0], v[1], v[2]); };
    auto line = absl::StrFormat(
        "%-16s %-20s %8.1f %-17s %-17s %6.3f %6.2f %6.2f%% %6.2f "
        "%5.0f %5.0f %6.0f %5.0f    ",
        rule.name, three(it.attainment), it.worth_per_second,
        three(it.goodput_kept), three(it.guarantee_kept), it.jain, it.small_p95,
        100.0 * it.wasted, it.spread_ratio, 1e3 * it.stage_cost[0],
        1e3 * it.stage_cost[1], 1e3 * it.stage_cost[2], 1e3 * it.stage_cost[3]);
    for (auto const& check : checks)
        absl::StrAppendFormat(&line, "%s %.3f (%.2f) %s; ", check.name,
                              check.measured, check.bound,
                              check.met ? "met" : "MISSED");
    return line + "\n";
}

nlohmann::json to_json(figures const& it,
                       std::vector<target_check> const& checks)
{
    nlohmann::json out = {
        {"attainment", it.attainment},
        {"goodput_per_s", it.goodput},
        {"goodput_kept", it.goodput_kept},
        {"guarantee_kept", it.guarantee_kept},
        {"worth_per_s", it.worth_per_second},
        {"jain", it.jain},
        {"small_p95_slowdown", it.small_p95},
        {"small_p95_against_normal", it.small_p95_against_normal},
        {"small_p95_wait", it.small_p95_wait},
        {"small_p95_service", it.small_p95_service},
        {"wasted", it.wasted},
        {"wasted_by_rank", it.wasted_by_rank},
        {"spread_ratio", it.spread_ratio}};
    for (std::size_t k = 0; k < stage_kind_count; ++k)
        out["stage_cost_s"][std::string(stage_names[k])] = it.stage_cost[k];
    out["targets"] = nlohmann::json::array();
    for (auto const& check : checks)
        out["targets"].push_back({{"name", check.name},
                                  {"measured", check.measured},
                                  {"bound", check.bound},
                                  {"met", check.met}});
    return out;
}

} // namespace buckthornvale::bench
