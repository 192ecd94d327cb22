#include <buckthornvale/decision/gateway/stage_order.hpp>

#include <algorithm>
#include <functional>
#include <queue>

namespace buckthornvale::decision::gateway
{

route_defect check_stages(absl::Span<route_stage const> stages)
{
    for (auto const& it : stages)
        if (std::any_of(it.after.begin(), it.after.end(),
                        [&](std::uint32_t n) { return n >= stages.size(); }))
            return route_defect::unknown_stage;
    return stage_order(stages).size() == stages.size()
               ? route_defect::none
               : route_defect::cycle_of_stages;
}

std::vector<std::uint32_t> stage_order(absl::Span<route_stage const> stages)
{
    std::vector<std::vector<std::uint32_t>> readers(stages.size());
    std::vector<std::size_t> missing_inputs(stages.size());
    std::priority_queue<std::uint32_t, std::vector<std::uint32_t>,
                        std::greater<>>
        ready; //!< the first in the manifest on top
    for (std::uint32_t n = 0; n < stages.size(); ++n)
    {
        missing_inputs[n] = stages[n].after.size();
        for (auto const after : stages[n].after)
            readers[after].push_back(n);
        if (stages[n].after.empty())
            ready.push(n);
    }
    std::vector<std::uint32_t> out;
    while (!ready.empty())
    {
        auto const next = ready.top();
        ready.pop();
        out.push_back(next);
        for (auto const reader : readers[next])
            if (--missing_inputs[reader] == 0)
                ready.push(reader);
    }
    return out;
}

} // namespace buckthornvale::decision::gateway
