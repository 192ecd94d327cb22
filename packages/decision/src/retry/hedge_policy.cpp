#include <buckthornvale/decision/retry/hedge_policy.hpp>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr double delay_probability = 0.95;
constexpr double median_probability = 0.5;

} // namespace

std::optional<time_point>
hedge_policy::hedge_time(hedge_query const& query,
                         deadline_split const& times) const
{
    if (!query.repeatable || !query.hedging_enabled || query.hedged)
        return std::nullopt;
    if (times.sample_count(query.stage.key) < min_samples)
        return std::nullopt;
    auto const hedge_at =
        query.started + times.quantile(query.stage, delay_probability);
    auto const median_time = times.quantile(query.stage, median_probability);
    if (hedge_at + median_time > query.deadline)
        return std::nullopt;
    return hedge_at;
}

bool hedge_policy::may_hedge(hedge_query const& query,
                             deadline_split const& times, retry_budget& budget,
                             time_point now) const
{
    auto const hedge_at = hedge_time(query, times);
    auto const median_time = times.quantile(query.stage, median_probability);
    bool const in_time =
        hedge_at && now >= *hedge_at && now + median_time <= query.deadline;
    return in_time && budget.try_take();
}

} // namespace buckthornvale::decision::retry
