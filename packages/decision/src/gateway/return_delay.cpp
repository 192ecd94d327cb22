#include <buckthornvale/decision/gateway/return_delay.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr duration min_return_delay = 100ms;

//! Share of its time left after which a caller returns at the latest. The rest
//! is for the request itself.
constexpr double latest_return_share = 1.0 / 3;

//! Upper limit of the earliest return, as a share of the latest one, so that
//! callers stay spread when room is expected late.
constexpr double max_earliest_share = 0.75;

} // namespace

duration return_delay(refused_caller const& caller)
{
    double const min_s = to_seconds(min_return_delay);
    double const latest_s =
        std::max(to_seconds(caller.time_left) * latest_return_share, min_s);
    double const earliest_s =
        std::clamp(to_seconds(caller.expected_wait), min_s,
                   std::max(latest_s * max_earliest_share, min_s));
    return from_seconds(earliest_s + caller.position * (latest_s - earliest_s));
}

} // namespace buckthornvale::decision::gateway
