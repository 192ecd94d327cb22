#include <buckthornvale/decision/admission/rank_scheduler.hpp>

#include <algorithm>

namespace buckthornvale::decision::admission
{

namespace
{

//! Lower limit of the divisor, which keeps the counter of a rank without a
//! guaranteed share finite.
constexpr double min_share = 1e-3;

//! Lower limit of the expected slots, which keeps the predicted wait finite.
constexpr double min_expected_slots = 1e-2;

//! Returns whether a request fits within a bound. `slots` is the rate at which
//! the bound refills; a request that is too large for the bound passes when
//! nothing is committed and the rate since the last dispatch has covered its
//! work.
bool fits_bound(double backlog, double work, double bound, double slots,
                duration since_last)
{
    if (backlog + 0.5 * work <= bound)
        return true;
    return backlog <= 0.0 && to_seconds(since_last) * slots >= work;
}

} // namespace

pool_access rank_scheduler::access(pool_backlog const& pool, rank r,
                                   double work, duration runner_queueing,
                                   bool use_guarantees, double bound_factor,
                                   time_point now) const
{
    if (!pool.fleet_slots())
        return pool_access::guaranteed;
    if (*pool.fleet_slots() <= 0.0)
        return pool_access::blocked;
    auto const guaranteed =
        bound_factor * pool.guaranteed_bound(r, runner_queueing);
    if (use_guarantees &&
        fits_bound(pool.backlog(r), work, guaranteed,
                   bound_factor * pool.share().guaranteed[index_of(r)],
                   now - pool.last_commit(r)))
        return pool_access::guaranteed;
    auto const bound =
        std::min(bound_factor, 1.0) * pool.bound(runner_queueing);
    return fits_bound(pool.total_backlog(), work, bound, pool.share().slots,
                      now - pool.last_commit())
               ? pool_access::borrowed
               : pool_access::blocked;
}

double rank_scheduler::expected_slots(pool_backlog const& pool, rank r,
                                      duration time_constant,
                                      time_point now) const
{
    auto const& share = pool.share();
    double slots = share.slots;
    for (auto other : all_ranks)
    {
        if (other == r)
            continue;
        auto const used = pool.start_rate(other, time_constant, now);
        slots -= other < r ? used
                           : std::min(used, share.guaranteed[index_of(other)]);
    }
    return std::max({slots, share.guaranteed[index_of(r)], min_expected_slots});
}

void rank_scheduler::charge(rank r, double cost)
{
    auto& counter = counter_[index_of(r)];
    virtual_time_ = std::max(virtual_time_, start_tag(r));
    counter = start_tag(r) +
              cost / std::max(ranks_[index_of(r)].guaranteed_share, min_share);
}

double rank_scheduler::start_tag(rank r) const
{
    return std::max(counter_[index_of(r)], virtual_time_);
}

} // namespace buckthornvale::decision::admission
