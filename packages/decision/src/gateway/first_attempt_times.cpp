#include <buckthornvale/decision/gateway/first_attempt_times.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

void first_attempt_times::record(duration time_left)
{
    shortest_ = count_ == 0 ? time_left : std::min(shortest_, time_left);
    longest_ = count_ == 0 ? time_left : std::max(longest_, time_left);
    ++count_;
}

duration first_attempt_times::time_since_first(duration time_left) const
{
    if (count_ < 2)
        return {};
    // Few samples seldom contain the extremes. The shortest of n values from a
    // uniform distribution is, on average, this far above its lower end.
    auto const margin = (longest_ - shortest_) / std::int64_t(count_ - 1);
    if (time_left >= shortest_ - margin)
        return {};
    return (shortest_ + longest_) / 2 - time_left;
}

} // namespace buckthornvale::decision::gateway
