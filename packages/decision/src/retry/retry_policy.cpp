#include <buckthornvale/decision/retry/retry_policy.hpp>

namespace buckthornvale::decision::retry
{

retry_verdict decide_retry(failed_attempt const& failed, retry_budget& budget,
                           time_point now)
{
    if (!failed.repeatable && failed.may_have_run)
        return retry_verdict::not_repeatable;
    if (failed.attempts >= most_attempts)
        return retry_verdict::too_many_attempts;
    bool const in_time =
        now < failed.deadline && now + failed.expected <= failed.deadline;
    if (!in_time)
        return retry_verdict::no_time;
    return budget.take() ? retry_verdict::retry : retry_verdict::no_budget;
}

} // namespace buckthornvale::decision::retry
