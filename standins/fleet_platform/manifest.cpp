#include "manifest.hpp"

namespace buckthornvale::standins::fleet_platform
{

namespace
{

using decision::gateway::request_kind;
using nlohmann::json;

char const* name_of(request_kind kind)
{
    switch (kind)
    {
    case request_kind::idempotent:
        return "safe";
    case request_kind::stream:
        return "streaming";
    case request_kind::at_most_once:
        break;
    }
    return "unsafe";
}

json route_of(route_plan const& plan)
{
    json out = {{"name", plan.path},
                {"host", "h"},
                {"pathPrefix", plan.path},
                {"kind", name_of(plan.kind)},
                {"timeoutMs", 4000},
                {"targetLatencyMs", 1000},
                {"priority", 0},
                {"service", plan.service},
                {"maxAttempts", plan.attempts},
                {"gapAimMs", 300}};
    if (plan.resumable)
        out["resumeStreams"] = true;
    if (!plan.stage.empty())
        out["stages"] = {{{"service", plan.stage},
                          {"after", json::array()},
                          {"bytes", 100}}};
    return out;
}

json services()
{
    json const pieces = {{"slots", 1},  {"batch", 8},      {"callMs", 20},
                         {"itemMs", 1}, {"headroomMb", 1}, {"handleS", 4}};
    return {{{"name", "plain"}},
            {{"name", "engine"}, {"engine", {{"slots", 4}}}},
            {{"name", "stage"}, {"pieces", pieces}}};
}

} // namespace

json manifest_of(int version, std::vector<route_plan> const& routes)
{
    auto list = json::array();
    for (auto const& it : routes)
        list.push_back(route_of(it));
    return {{"version", version},
            {"routes", list},
            {"services", services()},
            {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", 100000}}},
            {"tenants", {{{"name", "org"}, {"apiKeys", {"key"}}}}}};
}

} // namespace buckthornvale::standins::fleet_platform
