#include "stage_order.hpp"
#include <buckthornvale/decision/core/text.hpp>
#include <buckthornvale/settings/fleet/key_tables.hpp>
#include <buckthornvale/settings/fleet/object.hpp>
#include <buckthornvale/settings/schema/detail/read.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <set>

namespace buckthornvale::settings
{

namespace
{

using detail::problem_collector;

// Accepts sums such as 0.7 + 0.2 + 0.1, which can exceed 1 by a rounding error.
constexpr double share_tolerance = 1e-9;

// Entries of one object. The object API limits a value to 1 MB.
constexpr std::size_t max_runners = 4096;
constexpr std::size_t max_stages = 64;

constexpr std::array<std::string_view, decision::rank_count> rank_table_names =
    {"urgent", "standard", "background"};
constexpr std::array<std::string_view, 1> runner_table_names = {"runners"};
constexpr std::array<std::string_view, 1> stage_table_names = {"stages"};

void check_count(problem_collector& collector, toml::table const& table,
                 std::string_view name, std::size_t count, std::size_t minimum,
                 std::size_t maximum)
{
    if (count >= minimum && count <= maximum)
        return;
    collector.add(problem_kind::out_of_range, detail::line_of(table.get(name)),
                  std::string(name),
                  absl::StrFormat("there are %d entries", count),
                  absl::StrFormat("give %d to %d entries", minimum, maximum));
}

void check_shares(problem_collector& collector, toml::table const& table,
                  decision::rank_table const& ranks)
{
    double sum = 0.;
    for (auto const& it : ranks)
        sum += it.guaranteed_share;
    if (sum <= 1. + share_tolerance)
        return;
    collector.add(problem_kind::share_sum, detail::line_of(&table),
                  "guaranteed_share",
                  absl::StrFormat("the guaranteed shares sum to %.6g", sum));
}

decision::rank_table read_ranks(problem_collector& collector,
                                toml::table const& table)
{
    decision::rank_table ranks;
    detail::report_unknown_keys(collector, table, "", {}, rank_table_names);
    for (auto it : decision::all_ranks)
    {
        auto const name = decision::name_of(it);
        auto const* child = detail::child_table(collector, table, name);
        if (child)
        {
            detail::read_keys(collector, *child, std::string(name) + ".",
                              rank_keys(), {}, ranks[decision::index_of(it)]);
        }
        else if (!table.contains(name))
        {
            collector.add(problem_kind::missing_key, detail::line_of(&table),
                          std::string(name), "the table is missing");
        }
    }
    check_shares(collector, table, ranks);
    return ranks;
}

decision::fleet_parameters read_fleet(problem_collector& collector,
                                      toml::table const& table)
{
    decision::fleet_parameters parameters;
    detail::read_keys(collector, table, "", fleet_keys(), {}, parameters);
    auto const& windows = parameters.burn_windows;
    auto const is_ascending = std::adjacent_find(windows.begin(), windows.end(),
                                                 [](auto a, auto b) {
                                                     return a >= b;
                                                 }) == windows.end();
    if (windows.empty() || !is_ascending)
    {
        collector.add(problem_kind::out_of_range,
                      detail::line_of(table.get("burn_windows_s")),
                      "burn_windows_s",
                      "the windows are not in ascending order",
                      "list at least one window, shortest first");
    }
    return parameters;
}

// Reports each entry whose name an earlier entry of the list has.
template <class Entry>
void report_duplicate_names(problem_collector& collector,
                            std::vector<Entry> const& entries,
                            std::vector<toml::table const*> const& tables,
                            std::string_view list)
{
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        // An empty name has been reported as missing or invalid.
        if (entries[i].name.empty() || seen.insert(entries[i].name).second)
            continue;
        collector.add(problem_kind::duplicate_name,
                      detail::line_of(tables[i]->get("name")),
                      detail::entry_prefix(list, i) + "name",
                      "the name '" + entries[i].name + "' is already used");
    }
}

decision::pool_settings read_pool(problem_collector& collector,
                                  toml::table const& table)
{
    decision::pool_settings pool;
    detail::read_keys(collector, table, "", pool_keys(), runner_table_names,
                      pool);
    auto const entries = detail::child_tables(collector, table, "runners");
    check_count(collector, table, "runners", entries.size(), 0, max_runners);
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        detail::read_keys(collector, *entries[i],
                          detail::entry_prefix("runners", i), runner_keys(), {},
                          pool.runners.emplace_back());
    }
    report_duplicate_names(collector, pool.runners, entries, "runners");
    bool const is_service = pool.kind == decision::runner_kind::service;
    if (is_service && !pool.models.empty())
    {
        collector.add(problem_kind::inconsistent,
                      detail::line_of(table.get("models")), "models",
                      "a pool of services has no models",
                      "remove `models`, or set kind = \"engine\"");
    }
    return pool;
}

void check_stage(problem_collector& collector, toml::table const& table,
                 decision::stage_settings const& stage,
                 std::string const& prefix)
{
    if (stage.hedge && !stage.repeatable)
    {
        collector.add(problem_kind::inconsistent,
                      detail::line_of(table.get("hedge")), prefix + "hedge",
                      "a stage that must not run twice cannot be hedged",
                      "remove `hedge`, or set repeatable = true");
    }
}

reference pool_reference(decision::stage_settings const& stage,
                         toml::table const& table, std::string const& prefix)
{
    reference value;
    value.target = {object_kind::pool, stage.pool};
    value.model = stage.model;
    value.needs_engine =
        stage.stream || !stage.model.empty() || !stage.adapter.empty();
    value.line = detail::line_of(table.get("pool"));
    value.key = prefix + "pool";
    return value;
}

decision::pipeline_settings read_pipeline(problem_collector& collector,
                                          toml::table const& table,
                                          std::vector<reference>& references)
{
    decision::pipeline_settings pipeline;
    detail::read_keys(collector, table, "", pipeline_keys(), stage_table_names,
                      pipeline);
    auto const entries = detail::child_tables(collector, table, "stages");
    check_count(collector, table, "stages", entries.size(), 1, max_stages);
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        auto const prefix = detail::entry_prefix("stages", i);
        auto& stage = pipeline.stages.emplace_back();
        detail::read_keys(collector, *entries[i], prefix, stage_keys(), {},
                          stage);
        check_stage(collector, *entries[i], stage, prefix);
        if (!stage.pool.empty())
            references.push_back(pool_reference(stage, *entries[i], prefix));
    }
    report_duplicate_names(collector, pipeline.stages, entries, "stages");
    std::vector<std::uint32_t> lines;
    for (auto const* it : entries)
    {
        auto const* after = it->get("after");
        lines.push_back(detail::line_of(after ? after : it));
    }
    order_stages(collector, pipeline.stages, lines);
    return pipeline;
}

decision::organisation_settings
read_organisation(problem_collector& collector, toml::table const& table,
                  std::vector<reference>& references)
{
    decision::organisation_settings organisation;
    detail::read_keys(collector, table, "", organisation_keys(), {},
                      organisation);
    // Digests of callers' keys are compared in lower case.
    absl::AsciiStrToLower(&organisation.key_sha256);
    auto const line = detail::line_of(table.get("pipelines"));
    for (auto const& it : organisation.pipelines)
    {
        reference value;
        value.target = {object_kind::pipeline, it};
        value.line = line;
        value.key = "pipelines";
        references.push_back(std::move(value));
    }
    return organisation;
}

object_value read_value(problem_collector& collector, object_path const& path,
                        toml::table const& table,
                        std::vector<reference>& references)
{
    switch (path.kind)
    {
    case object_kind::ranks:
        return read_ranks(collector, table);
    case object_kind::fleet:
        return read_fleet(collector, table);
    case object_kind::pool:
    {
        auto pool = read_pool(collector, table);
        pool.name = path.name;
        return pool;
    }
    case object_kind::pipeline:
    {
        auto pipeline = read_pipeline(collector, table, references);
        pipeline.name = path.name;
        return pipeline;
    }
    case object_kind::organisation:
        break;
    }
    auto organisation = read_organisation(collector, table, references);
    organisation.name = path.name;
    return organisation;
}

} // namespace

parse_result parse_object(std::string_view path, std::string_view toml_text)
{
    problem_collector collector{std::string(path)};
    auto const parsed_path = parse_object_path(path);
    if (!parsed_path)
    {
        collector.add(problem_kind::unknown_path, 0, "",
                      "this path holds no settings");
        return {std::nullopt, collector.take_problems()};
    }
    auto const table = detail::parse_toml(collector, toml_text);
    if (!table)
        return {std::nullopt, collector.take_problems()};
    settings_object object;
    object.path = *parsed_path;
    object.value =
        read_value(collector, *parsed_path, *table, object.references);
    if (!collector.problems().empty())
        return {std::nullopt, collector.take_problems()};
    return {std::move(object), {}};
}

} // namespace buckthornvale::settings
