#include <buckthornvale/decision/retry/retry_policy.hpp>

namespace buckthornvale::decision::retry
{

retry_verdict decide_retry(failed_attempt const& failed, retry_budget& budget,
                           time_point now)
{
    if (!failed.repeatable && failed.may_have_run)
        return retry_verdict::not_repeatable;
    auto const most =
        failed.may_have_run ? most_attempts : most_unstarted_attempts;
    if (failed.attempts >= most)
        return retry_verdict::too_many_attempts;
    bool const in_time =
        now < failed.deadline && now + failed.expected <= failed.deadline;
    if (!in_time)
        return retry_verdict::no_time;
    // It cost no runner anything, so it cannot add to an overload.
    if (!failed.may_have_run)
        return retry_verdict::retry;
    return budget.take() ? retry_verdict::retry : retry_verdict::no_budget;
}

} // namespace buckthornvale::decision::retry
