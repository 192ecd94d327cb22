#include <buckthornvale/decision/retry/deadline_split.hpp>

#include <algorithm>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr double split_share = 0.95;
//! Fewer times do not tell a p95.
constexpr std::uint64_t least_recorded = 20;
//! A stage without any figure still gets a share of the deadline.
constexpr duration least_weight = std::chrono::milliseconds(1);

} // namespace

void deadline_split::record(stage_key stage, duration took)
{
    if (!stages_.contains(stage))
        make_room();
    auto& it = stages_[stage];
    it.times.record(took);
    it.used = ++uses_;
}

void deadline_split::split(absl::Span<remaining_stage const> path,
                           time_point deadline, time_point now,
                           std::vector<duration>& out) const
{
    out.clear();
    double const left = std::max(0., to_seconds(deadline - now));
    double sum = 0.;
    for (auto const& it : path)
        sum += to_seconds(quantile(it, split_share));
    for (auto const& it : path)
    {
        double const weight = to_seconds(quantile(it, split_share));
        out.push_back(from_seconds(left * weight / sum));
    }
}

duration deadline_split::budget(absl::Span<remaining_stage const> path,
                                time_point deadline, time_point now) const
{
    if (path.empty() || deadline <= now)
        return duration::zero();
    double const first = to_seconds(quantile(path.front(), split_share));
    double const sum = to_seconds(needed(path, split_share));
    return from_seconds(to_seconds(deadline - now) * first / sum);
}

duration deadline_split::quantile(remaining_stage const& stage,
                                  double share) const
{
    auto const fallback = std::max(stage.expected, least_weight);
    auto const it = stages_.find(stage.key);
    if (it == stages_.end() || it->second.times.recorded() < least_recorded)
        return fallback;
    return it->second.times.quantile(share).value_or(fallback);
}

duration deadline_split::needed(absl::Span<remaining_stage const> path,
                                double share) const
{
    duration sum{};
    for (auto const& it : path)
        sum += quantile(it, share);
    return sum;
}

std::uint64_t deadline_split::recorded(stage_key stage) const
{
    auto const it = stages_.find(stage);
    return it == stages_.end() ? 0 : it->second.times.recorded();
}

void deadline_split::make_room()
{
    if (stages_.size() < most_stages)
        return;
    auto const less = [](auto const& a, auto const& b)
    { return a.second.used < b.second.used; };
    stages_.erase(std::min_element(stages_.begin(), stages_.end(), less));
}

} // namespace buckthornvale::decision::retry
