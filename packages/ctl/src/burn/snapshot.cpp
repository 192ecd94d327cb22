#include <buckthornvale/ctl/burn/snapshot.hpp>
#include <buckthornvale/ctl/fleet/vm_status.hpp>

#include <algorithm>
#include <fstream>
#include <ostream>

namespace buckthornvale::ctl
{

namespace
{

using nlohmann::json;

constexpr std::string_view metric_prefix = "buckthornvale_";

json to_json(series_values const& values)
{
    json list = json::array();
    for (auto const& [key, value] : values)
        list.push_back({key.name, key.labels, value});
    return list;
}

series_values parse_values(json const& list)
{
    series_values values;
    for (auto const& it : list)
    {
        series key;
        key.name = it.at(0).get<std::string>();
        key.labels = it.at(1).get<std::map<std::string, std::string>>();
        values[std::move(key)] = it.at(2).get<double>();
    }
    return values;
}

std::optional<snapshot> parse_snapshot(std::string const& line)
{
    try
    {
        auto const body = json::parse(line);
        snapshot value;
        value.at_ms = body.at("at_ms").get<std::int64_t>();
        for (auto const& [vm, list] : body.at("vms").items())
            value.vms[vm] = parse_values(list);
        return value;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace

std::optional<snapshot> take_snapshot(context& ctx)
{
    auto const vms = list_entry_vms(ctx);
    if (!vms)
        return std::nullopt;
    std::vector<std::optional<std::string>> bodies(vms->size());
    parallel_for(vms->size(), [&](std::size_t i)
                 { bodies[i] = ctx.vms.get((*vms)[i].address, "/metrics"); });
    snapshot value;
    value.at_ms = ctx.wall_ms();
    for (std::size_t i = 0; i < bodies.size(); ++i)
    {
        if (bodies[i])
            value.vms[(*vms)[i].id] =
                parse_prometheus(*bodies[i], metric_prefix);
        else
            ctx.err << (*vms)[i].id
                    << " did not answer; the report is "
                       "without it\n";
    }
    if (value.vms.empty())
    {
        ctx.err << "no VM answered; check that the fleet runs\n";
        return std::nullopt;
    }
    return value;
}

std::string to_json_line(snapshot const& value)
{
    json vms = json::object();
    for (auto const& [vm, values] : value.vms)
        vms[vm] = to_json(values);
    return json{{"at_ms", value.at_ms}, {"vms", vms}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

bool append_snapshot(std::string const& file, snapshot const& value)
{
    std::ofstream output(file, std::ios::app);
    output << to_json_line(value) << '\n';
    output.flush();
    return static_cast<bool>(output);
}

std::optional<std::vector<snapshot>> read_snapshots(std::string const& file)
{
    std::ifstream input(file);
    if (!input)
        return std::nullopt;
    std::vector<snapshot> snapshots;
    for (std::string line; std::getline(input, line);)
    {
        if (auto value = parse_snapshot(line))
            snapshots.push_back(std::move(*value));
    }
    std::stable_sort(snapshots.begin(), snapshots.end(),
                     [](auto const& a, auto const& b)
                     { return a.at_ms < b.at_ms; });
    return snapshots;
}

std::vector<interval> intervals_of(std::vector<snapshot> const& snapshots)
{
    std::vector<interval> intervals;
    std::map<std::string, series_values> last;
    for (std::size_t i = 0; i < snapshots.size(); ++i)
    {
        auto const& now = snapshots[i];
        interval step;
        step.from_ms = i > 0 ? snapshots[i - 1].at_ms : now.at_ms;
        step.to_ms = now.at_ms;
        for (auto const& [vm, values] : now.vms)
        {
            auto const& before = last[vm];
            for (auto const& [key, value] : values)
            {
                auto const found = before.find(key);
                auto const old = found == before.end() ? 0. : found->second;
                step.increases[key] += value >= old ? value - old : value;
            }
            last[vm] = values;
        }
        // The first snapshot only provides the baseline.
        if (i > 0)
            intervals.push_back(std::move(step));
    }
    return intervals;
}

} // namespace buckthornvale::ctl
