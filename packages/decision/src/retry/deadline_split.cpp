#include <buckthornvale/decision/retry/deadline_split.hpp>

#include <algorithm>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr double budget_probability = 0.95;
//! With fewer samples the p95 is not meaningful.
constexpr std::uint64_t min_samples = 20;
//! Lower bound, so that a stage without an expected time still gets a share
//! of the deadline.
constexpr duration min_stage_time = std::chrono::milliseconds(1);

} // namespace

void deadline_split::record(stage_key stage, duration took)
{
    if (!stages_.contains(stage))
        evict_least_recently_used();
    auto& it = stages_[stage];
    it.times.record(took);
    it.last_used = ++record_count_;
}

void deadline_split::split(absl::Span<remaining_stage const> path,
                           time_point deadline, time_point now,
                           std::vector<duration>& out) const
{
    out.clear();
    double const left = std::max(0., to_seconds(deadline - now));
    double sum = 0.;
    for (auto const& it : path)
        sum += to_seconds(quantile(it, budget_probability));
    for (auto const& it : path)
    {
        double const weight = to_seconds(quantile(it, budget_probability));
        out.push_back(from_seconds(left * weight / sum));
    }
}

duration deadline_split::budget(absl::Span<remaining_stage const> path,
                                time_point deadline, time_point now) const
{
    if (path.empty() || deadline <= now)
        return duration::zero();
    double const first_stage_time =
        to_seconds(quantile(path.front(), budget_probability));
    double const sum = to_seconds(needed(path, budget_probability));
    return from_seconds(to_seconds(deadline - now) * first_stage_time / sum);
}

duration deadline_split::quantile(remaining_stage const& stage,
                                  double probability) const
{
    auto const fallback = std::max(stage.expected, min_stage_time);
    auto const it = stages_.find(stage.key);
    if (it == stages_.end() || it->second.times.sample_count() < min_samples)
        return fallback;
    return it->second.times.quantile(probability).value_or(fallback);
}

duration deadline_split::needed(absl::Span<remaining_stage const> path,
                                double probability) const
{
    duration sum{};
    for (auto const& it : path)
        sum += quantile(it, probability);
    return sum;
}

std::uint64_t deadline_split::sample_count(stage_key stage) const
{
    auto const it = stages_.find(stage);
    return it == stages_.end() ? 0 : it->second.times.sample_count();
}

void deadline_split::evict_least_recently_used()
{
    if (stages_.size() < max_stages)
        return;
    auto const older = [](auto const& a, auto const& b)
    { return a.second.last_used < b.second.last_used; };
    stages_.erase(std::min_element(stages_.begin(), stages_.end(), older));
}

} // namespace buckthornvale::decision::retry
