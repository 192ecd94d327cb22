#include <buckthornvale/decision/gateway/queue_forecast.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

duration queue_forecast::at(dispatch_priority priority, duration due_in) const
{
    auto const behind = std::upper_bound(
        classes.begin(), classes.end(), priority,
        [](dispatch_priority const& value, class_waits const& it)
        { return value < it.priority; });
    if (behind == classes.begin())
        return without_queue;
    auto const& last = *std::prev(behind);
    return last.priority == priority ? last.waits.at(due_in) : last.behind;
}

duration queue_forecast::longest() const
{
    return classes.empty() ? without_queue : classes.back().behind;
}

} // namespace buckthornvale::decision::gateway
