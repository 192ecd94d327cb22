#include <buckthornvale/decision/gateway/stage_capacity.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Lower bound of the share of the capacity that a class is assumed to get
//! beside more urgent ones.
constexpr double min_capacity_left = 0.5;

} // namespace

duration stage_capacity::wait_behind(std::size_t pieces,
                                     double more_urgent_per_s) const
{
    double const calls = double(pieces) / batch + (has_free_slot ? 0.0 : 1.0);
    auto const call = double(pieces) >= batch ? batch_call : short_call;
    double const capacity_left =
        std::max(1 - more_urgent_per_s / max_pieces_per_s, min_capacity_left);
    return from_seconds(calls * to_seconds(call) / slots / capacity_left);
}

} // namespace buckthornvale::decision::gateway
