#include <buckthornvale/decision/admission/pool_backlog.hpp>

#include <algorithm>
#include <numeric>

namespace buckthornvale::decision::admission
{

namespace
{

//! Weight of one sample in the running means: about the last 50 requests.
constexpr double gain = 0.02;

//! One outlier must not move the ratio by more than a few percent.
constexpr double largest_sample_ratio = 4.0;

void learn(double& mean, double sample)
{
    mean = mean > 0.0 ? mean + gain * (sample - mean) : sample;
}

//! Sums of released work leave rounding errors that must not accumulate.
double without_rounding(double value)
{
    return value < 1e-9 ? 0.0 : value;
}

} // namespace

void pool_backlog::offer(rank r, double work, duration lead, duration memory,
                         time_point now)
{
    offered_[index_of(r)].add(work, memory, now);
    learn(lead_[index_of(r)], to_seconds(lead));
    learn(mean_lead_, to_seconds(lead));
}

double pool_backlog::offered(rank r, duration memory, time_point now) const
{
    return offered_[index_of(r)].at(memory, now);
}

void pool_backlog::commit(rank r, double work, duration memory, time_point now)
{
    backlog_[index_of(r)] += work;
    started_[index_of(r)].add(work, memory, now);
    last_commit_[index_of(r)] = now;
}

void pool_backlog::release(rank r, double work)
{
    auto& backlog = backlog_[index_of(r)];
    backlog = without_rounding(backlog - work);
}

void pool_backlog::measure(double expected_work, double actual_work)
{
    if (expected_work <= 0.0)
        return;
    auto const ratio =
        std::clamp(actual_work / expected_work, 0.0, largest_sample_ratio);
    work_ratio_ += gain * (ratio - work_ratio_);
}

void pool_backlog::add_queued(rank r, double work)
{
    auto& queued = queued_[index_of(r)];
    queued = without_rounding(queued + work);
}

double pool_backlog::total_backlog() const
{
    return std::accumulate(backlog_.begin(), backlog_.end(), 0.0);
}

time_point pool_backlog::last_commit() const
{
    return *std::max_element(last_commit_.begin(), last_commit_.end());
}

double pool_backlog::started(rank r, duration memory, time_point now) const
{
    return started_[index_of(r)].at(memory, now);
}

double pool_backlog::bound(duration runner_queueing) const
{
    return share_.slots *
           (mean_lead_ * work_ratio_ + to_seconds(runner_queueing));
}

double pool_backlog::guaranteed_bound(rank r, duration runner_queueing) const
{
    return share_.guaranteed[index_of(r)] *
           (lead_[index_of(r)] * work_ratio_ + to_seconds(runner_queueing));
}

} // namespace buckthornvale::decision::admission
