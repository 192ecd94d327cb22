#include <buckthornvale/decision/retry/hedge_policy.hpp>

namespace buckthornvale::decision::retry
{

namespace
{

constexpr double delay_share = 0.95;
constexpr double usual_share = 0.5;

} // namespace

std::optional<time_point> hedge_policy::due(hedge_query const& query,
                                            deadline_split const& times) const
{
    if (!query.repeatable || !query.marked || query.hedged)
        return std::nullopt;
    if (times.recorded(query.stage.key) < least_recorded)
        return std::nullopt;
    auto const at = query.started + times.quantile(query.stage, delay_share);
    auto const usual = times.quantile(query.stage, usual_share);
    if (at + usual > query.deadline)
        return std::nullopt;
    return at;
}

bool hedge_policy::may_hedge(hedge_query const& query,
                             deadline_split const& times, retry_budget& budget,
                             time_point now) const
{
    auto const at = due(query, times);
    auto const usual = times.quantile(query.stage, usual_share);
    bool const in_time = at && now >= *at && now + usual <= query.deadline;
    return in_time && budget.take();
}

} // namespace buckthornvale::decision::retry
