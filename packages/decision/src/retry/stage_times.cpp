#include <buckthornvale/decision/retry/stage_times.hpp>

#include <algorithm>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr int bins = 210;
constexpr double least_seconds = 1e-4;
constexpr double largest_seconds = 1e3;
constexpr std::uint64_t half_life = 2000;

} // namespace

stage_times::stage_times()
    : times_(std::make_tuple(axis(bins, least_seconds, largest_seconds)),
             storage())
{
}

void stage_times::record(duration took)
{
    times_(std::max(to_seconds(took), least_seconds));
    weight_ += 1.;
    ++recorded_;
    if (recorded_ % half_life != 0)
        return;
    times_ *= 0.5F;
    weight_ *= 0.5;
}

std::optional<duration> stage_times::quantile(double share) const
{
    if (weight_ <= 0.)
        return std::nullopt;
    double const wanted = share * weight_;
    double sum = 0.;
    auto const& edges = times_.axis(0);
    for (int i = -1; i < bins; ++i)
    {
        sum += double(times_.at(i));
        if (sum >= wanted)
            return from_seconds(edges.value(i + 1));
    }
    return from_seconds(largest_seconds);
}

} // namespace buckthornvale::decision::retry
