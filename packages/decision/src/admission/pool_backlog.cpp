#include <buckthornvale/decision/admission/pool_backlog.hpp>

#include <algorithm>
#include <numeric>

namespace buckthornvale::decision::admission
{

namespace
{

//! Weight of one sample in the moving averages, which span about the last 50
//! requests.
constexpr double smoothing_factor = 0.02;

//! Limit of one sample, so that an outlier moves the ratio by only a few
//! percent.
constexpr double max_sample_ratio = 4.0;

void update_mean(double& mean, double sample)
{
    mean = mean > 0.0 ? mean + smoothing_factor * (sample - mean) : sample;
}

//! Sets a value close to zero to zero, so that rounding errors of sums do not
//! accumulate.
double clear_rounding_error(double value)
{
    return value < 1e-9 ? 0.0 : value;
}

} // namespace

void pool_backlog::record_offered_work(rank r, double work,
                                       duration holding_time,
                                       duration time_constant, time_point now)
{
    offered_[index_of(r)].add(work, time_constant, now);
    update_mean(holding_time_[index_of(r)], to_seconds(holding_time));
    update_mean(mean_holding_time_, to_seconds(holding_time));
}

double pool_backlog::offered_rate(rank r, duration time_constant,
                                  time_point now) const
{
    return offered_[index_of(r)].at(time_constant, now);
}

void pool_backlog::commit(rank r, double work, duration time_constant,
                          time_point now)
{
    backlog_[index_of(r)] += work;
    started_[index_of(r)].add(work, time_constant, now);
    last_commit_[index_of(r)] = now;
}

void pool_backlog::release(rank r, double work)
{
    auto& backlog = backlog_[index_of(r)];
    backlog = clear_rounding_error(backlog - work);
}

void pool_backlog::record_measured_work(double expected_work,
                                        double actual_work)
{
    if (expected_work <= 0.0)
        return;
    auto const ratio =
        std::clamp(actual_work / expected_work, 0.0, max_sample_ratio);
    work_ratio_ += smoothing_factor * (ratio - work_ratio_);
}

void pool_backlog::add_queued(rank r, double work)
{
    auto& queued = queued_[index_of(r)];
    queued = clear_rounding_error(queued + work);
}

double pool_backlog::total_backlog() const
{
    return std::accumulate(backlog_.begin(), backlog_.end(), 0.0);
}

time_point pool_backlog::last_commit() const
{
    return *std::max_element(last_commit_.begin(), last_commit_.end());
}

double pool_backlog::start_rate(rank r, duration time_constant,
                                time_point now) const
{
    return started_[index_of(r)].at(time_constant, now);
}

double pool_backlog::bound(duration runner_queueing) const
{
    return share_.slots *
           (mean_holding_time_ * work_ratio_ + to_seconds(runner_queueing));
}

double pool_backlog::guaranteed_bound(rank r, duration runner_queueing) const
{
    return share_.guaranteed[index_of(r)] *
           (holding_time_[index_of(r)] * work_ratio_ +
            to_seconds(runner_queueing));
}

} // namespace buckthornvale::decision::admission
