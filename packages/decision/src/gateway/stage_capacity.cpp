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

duration stage_capacity::wait_in_share(std::size_t pieces, double share) const
{
    // The piece itself needs a place too, for which its rank has to wait.
    double const calls = double(pieces + 1) / (batch * share) + 1;
    return from_seconds(calls * to_seconds(batch_call) / slots);
}

} // namespace buckthornvale::decision::gateway
