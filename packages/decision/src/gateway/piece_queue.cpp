#include <buckthornvale/decision/gateway/piece_queue.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

//! Tolerance after the due time before a piece counts as late, since the
//! estimates of the time after its start are rough.
constexpr duration late_tolerance = 100ms;

bool dispatched_before(queued_piece const& a, queued_piece const& b)
{
    if (!(a.sort_priority == b.sort_priority))
        return a.sort_priority < b.sort_priority;
    if (a.sort_time != b.sort_time)
        return a.sort_time < b.sort_time;
    return a.work.request < b.work.request;
}

} // namespace

// A piece with inputs is not deferred, because results of earlier stages
// occupy memory and expire.
dispatch_priority priority_of(queued_piece const& it, time_point now)
{
    auto out = it.work.priority;
    out.deferred = it.work.inputs.empty() &&
                   (out.deferred || it.due + late_tolerance < now);
    return out;
}

time_point sort_time_of(queued_piece const& it, bool deferred)
{
    return deferred ? std::max(it.due, it.latest_start) : it.due;
}

void piece_queue::sort(time_point now)
{
    for (auto& it : pieces_)
    {
        it.sort_priority = priority_of(it, now);
        it.sort_time = sort_time_of(it, it.sort_priority.deferred);
    }
    std::sort(pieces_.begin(), pieces_.end(), dispatched_before);
}

} // namespace buckthornvale::decision::gateway
