#include "stage_order.hpp"

#include <algorithm>
#include <set>

namespace buckthornvale::settings
{

namespace
{

using stage_list = std::vector<decision::stage_settings>;

bool check_stage_references(detail::problem_collector& collector,
                            stage_list const& stages,
                            std::vector<std::uint32_t> const& lines)
{
    std::set<std::string_view> names;
    for (auto const& it : stages)
        names.insert(it.name);
    bool is_valid = true;
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        for (auto const& it : stages[i].after)
        {
            if (names.count(it) > 0)
                continue;
            is_valid = false;
            collector.add(problem_kind::unknown_reference, lines[i],
                          detail::entry_prefix("stages", i) + "after",
                          "the stage '" + it + "' does not exist",
                          "name a stage of this pipeline");
        }
    }
    return is_valid;
}

// Returns the index of the first stage that is not placed yet and whose inputs
// all are, or the number of stages if there is none.
std::size_t find_ready_stage(stage_list const& stages,
                             std::vector<bool> const& is_placed,
                             std::set<std::string_view> const& placed)
{
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        auto const& after = stages[i].after;
        auto const is_done = [&](auto const& it)
        { return placed.count(it) > 0; };
        if (!is_placed[i] && std::all_of(after.begin(), after.end(), is_done))
            return i;
    }
    return stages.size();
}

void report_cycle(detail::problem_collector& collector,
                  stage_list const& stages,
                  std::vector<std::uint32_t> const& lines,
                  std::vector<bool> const& is_placed)
{
    std::string names;
    std::size_t first = stages.size();
    for (std::size_t i = 0; i < stages.size(); ++i)
    {
        if (is_placed[i])
            continue;
        first = std::min(first, i);
        names += (names.empty() ? "'" : ", '") + stages[i].name + "'";
    }
    collector.add(problem_kind::cycle, lines[first],
                  detail::entry_prefix("stages", first) + "after",
                  "stages depend on each other: " + names);
}

} // namespace

void order_stages(detail::problem_collector& collector, stage_list& stages,
                  std::vector<std::uint32_t> const& lines)
{
    if (!check_stage_references(collector, stages, lines))
        return;
    std::vector<bool> is_placed(stages.size(), false);
    std::set<std::string_view> placed;
    stage_list ordered;
    while (ordered.size() < stages.size())
    {
        auto const i = find_ready_stage(stages, is_placed, placed);
        if (i == stages.size())
            return report_cycle(collector, stages, lines, is_placed);
        is_placed[i] = true;
        placed.insert(stages[i].name);
        ordered.push_back(stages[i]);
    }
    stages = std::move(ordered);
}

} // namespace buckthornvale::settings
