#include <buckthornvale/decision/retry/stage_times.hpp>

#include <algorithm>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr int bin_count = 210;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 1e3;
constexpr std::uint64_t samples_per_halving = 2000;

} // namespace

stage_times::stage_times()
    : histogram_(std::make_tuple(axis(bin_count, min_seconds, max_seconds)),
                 storage())
{
}

void stage_times::record(duration took)
{
    histogram_(std::max(to_seconds(took), min_seconds));
    total_weight_ += 1.;
    ++sample_count_;
    if (sample_count_ % samples_per_halving != 0)
        return;
    histogram_ *= 0.5F;
    total_weight_ *= 0.5;
}

std::optional<duration> stage_times::quantile(double probability) const
{
    if (total_weight_ <= 0.)
        return std::nullopt;
    double const target_weight = probability * total_weight_;
    double sum = 0.;
    auto const& edges = histogram_.axis(0);
    for (int i = -1; i < bin_count; ++i)
    {
        sum += double(histogram_.at(i));
        if (sum >= target_weight)
            return from_seconds(edges.value(i + 1));
    }
    return from_seconds(max_seconds);
}

} // namespace buckthornvale::decision::retry
