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

//! Part of the latest return at which a crowd begins to return when room is
//! expected only after it.
constexpr double earliest_return_part = 0.75;

} // namespace

duration return_delay(refused_caller const& caller)
{
    double const min_s = to_seconds(min_return_delay);
    double const latest_s =
        std::max(to_seconds(caller.time_left) * latest_return_share, min_s);
    double const earliest_s =
        std::clamp(to_seconds(caller.room_in), min_s,
                   std::max(latest_s * earliest_return_part, min_s));
    return from_seconds(earliest_s + caller.position * (latest_s - earliest_s));
}

} // namespace buckthornvale::decision::gateway
