#include <buckthornvale/decision/retry/retry_policy.hpp>

namespace buckthornvale::decision::retry
{

retry_verdict decide_retry(failed_attempt const& failed, retry_budget& budget,
                           time_point now)
{
    if (!failed.repeatable && failed.may_have_run)
        return retry_verdict::not_repeatable;
    auto const attempt_limit =
        failed.may_have_run ? max_attempts : max_unstarted_attempts;
    if (failed.attempts >= attempt_limit)
        return retry_verdict::too_many_attempts;
    bool const in_time =
        now < failed.deadline && now + failed.expected <= failed.deadline;
    if (!in_time)
        return retry_verdict::insufficient_time;
    // An attempt that did not start used no runner capacity, so retrying it
    // cannot amplify an overload and takes no token.
    if (!failed.may_have_run)
        return retry_verdict::retry;
    return budget.try_take() ? retry_verdict::retry
                             : retry_verdict::budget_exhausted;
}

} // namespace buckthornvale::decision::retry
