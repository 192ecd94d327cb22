#include "summary_fields.hpp"

#include "mark_fields.hpp"
#include <buckthornvale/decision/core/rank.hpp>

#include <absl/types/span.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace buckthornvale::peer::detail
{

using nlohmann::json;
namespace fleet = decision::fleet;
namespace isolation = decision::isolation;

namespace
{

// Whole numbers take one to five bytes in CBOR, other numbers five or nine.
// A thousandth is finer than any decision needs.
constexpr double units = 1000.;

// A light organisation costs far less than a thousandth of a pool a second.
constexpr double cost_scale = 1000.;

// The largest amount of thousandths that a double holds exactly.
constexpr double max_units = 9007199254740992.;

// Bits of a summary's kind.
constexpr unsigned full_flag = 1;
constexpr unsigned fleet_flag = 2;

json units_of(double value)
{
    auto const scaled = value * units;
    if (!(scaled > 0.))
        return 0U;
    return static_cast<std::uint64_t>(
        std::llround(std::min(scaled, max_units)));
}

// Reads an array of an id and amounts: shorter than a map with names, and
// summaries are most of the links' traffic.
void read_load(field_reader& in, char const* name, json const& list,
               std::uint64_t& id, absl::Span<double> amounts)
{
    if (!list.is_array() || list.size() != amounts.size() + 1)
    {
        in.fail(name);
        return;
    }
    for (auto const& it : list)
    {
        if (!it.is_number_unsigned())
        {
            in.fail(name);
            return;
        }
    }
    id = list[0].get<std::uint64_t>();
    for (std::size_t i = 0; i < amounts.size(); ++i)
    {
        auto const value = list[i + 1].get<std::uint64_t>();
        amounts[i] = static_cast<double>(value) / units;
    }
}

void read_costs(field_reader& in,
                std::array<double, decision::rank_count>& costs)
{
    auto const* list = in.optional_array("x", costs.size());
    if (list == nullptr || list->size() != costs.size())
        return in.fail("x");
    for (std::size_t i = 0; i < costs.size(); ++i)
    {
        if (!(*list)[i].is_number_unsigned())
            return in.fail("x");
        auto const value = (*list)[i].get<std::uint64_t>();
        costs[i] = static_cast<double>(value) / units / cost_scale;
    }
}

} // namespace

json fields_of(fleet::summary_message const& value)
{
    json pools = json::array();
    for (auto const& it : value.load.pools)
    {
        json load = json::array({it.pool.value});
        for (auto running : it.in_flight)
            load.push_back(units_of(running));
        for (auto demand : it.demand)
            load.push_back(units_of(demand));
        pools.push_back(std::move(load));
    }
    json organisations = json::array();
    for (auto const& it : value.load.organisations)
    {
        json load = json::array({it.organisation.value,
                                 units_of(it.requests_per_second),
                                 units_of(it.concurrent)});
        for (auto cost : it.cost_rate)
            load.push_back(units_of(cost * cost_scale));
        organisations.push_back(std::move(load));
    }
    json marks = json::array();
    for (auto const& it : value.load.marks)
    {
        auto fields = fields_of(it);
        fields.erase("t");
        marks.push_back(std::move(fields));
    }
    json fields = {
        {"t", "summary"},
        {"n", value.sequence},
        {"k", (value.full ? full_flag : 0U) | (value.fleet ? fleet_flag : 0U)},
        {"c", value.load.vms},
        {"r", value.load.settings_revision},
        {"u", units_of(value.load.unlisted_request_rate)}};
    json costs = json::array();
    for (auto cost : value.load.cost_rate)
        costs.push_back(units_of(cost * cost_scale));
    fields["x"] = std::move(costs);
    // Most differences have none of the lists.
    if (!pools.empty())
        fields["p"] = std::move(pools);
    if (!organisations.empty())
        fields["o"] = std::move(organisations);
    if (!marks.empty())
        fields["m"] = std::move(marks);
    return fields;
}

void read(field_reader& in, fleet::summary_message& value)
{
    std::uint64_t flags = 0;
    in.number("n", value.sequence);
    in.number("k", flags);
    in.number("c", value.load.vms);
    in.number("r", value.load.settings_revision);
    std::uint64_t unlisted = 0;
    in.number("u", unlisted);
    value.load.unlisted_request_rate = static_cast<double>(unlisted) / units;
    read_costs(in, value.load.cost_rate);
    if (flags > (full_flag | fleet_flag))
        in.fail("k");
    value.full = (flags & full_flag) != 0;
    value.fleet = (flags & fleet_flag) != 0;
    // A difference also lists what is gone, so it may have twice the entries.
    if (auto const* list = in.optional_array("p", 2 * fleet::max_summary_pools))
    {
        for (auto const& it : *list)
        {
            std::array<double, 2 * decision::rank_count> amounts{};
            fleet::pool_load load;
            read_load(in, "p", it, load.pool.value, absl::MakeSpan(amounts));
            auto const half = amounts.begin() + decision::rank_count;
            std::copy(amounts.begin(), half, load.in_flight.begin());
            std::copy(half, amounts.end(), load.demand.begin());
            value.load.pools.push_back(load);
        }
    }
    if (auto const* list =
            in.optional_array("o", 2 * fleet::max_summary_organisations))
    {
        for (auto const& it : *list)
        {
            std::array<double, 2 + decision::rank_count> amounts{};
            fleet::organisation_load load;
            read_load(in, "o", it, load.organisation.value,
                      absl::MakeSpan(amounts));
            load.requests_per_second = amounts[0];
            load.concurrent = amounts[1];
            std::transform(amounts.begin() + 2, amounts.end(),
                           load.cost_rate.begin(),
                           [](double cost) { return cost / cost_scale; });
            value.load.organisations.push_back(load);
        }
    }
    if (auto const* list = in.optional_array("m", fleet::max_summary_marks))
    {
        for (auto const& it : *list)
        {
            field_reader entry(it);
            isolation::isolation_mark mark;
            read(entry, mark);
            in.check(entry);
            value.load.marks.push_back(mark);
        }
    }
}

} // namespace buckthornvale::peer::detail
