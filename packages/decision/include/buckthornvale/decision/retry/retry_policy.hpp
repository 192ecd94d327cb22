#ifndef BUCKTHORNVALE_DECISION_RETRY_RETRY_POLICY_HPP
#define BUCKTHORNVALE_DECISION_RETRY_RETRY_POLICY_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/retry/retry_budget.hpp>

#include <cstdint>

namespace buckthornvale::decision::retry
{

//! An attempt that failed. The caller excludes the runners it already tried
//! from the next attempt.
struct failed_attempt
{
    bool repeatable = false; //!< the stage may run more than once
    bool may_have_run =
        true; //!< false when it is certain that it did not start
    std::uint32_t attempts = 1; //!< of this stage so far, including this one
    time_point deadline;        //!< of the stage
    duration expected{};        //!< median time of the stage
};

enum class retry_verdict
{
    retry,
    not_repeatable,
    insufficient_time,
    too_many_attempts,
    budget_exhausted
};

//! Maximum number of attempts of one stage, including the first.
constexpr std::uint32_t max_attempts = 3;

//! Maximum number of attempts of one stage while none of them started. It is
//! higher because after the loss of a failure domain the first runners that are
//! tried may all refuse connections.
constexpr std::uint32_t max_unstarted_attempts = 8;

//! Decides whether to retry a failed attempt. A retry takes a token from the
//! budget unless the failed attempt certainly did not start. A non-repeatable
//! stage is retried only when the failed attempt certainly did not start.
retry_verdict decide_retry(failed_attempt const& failed, retry_budget& budget,
                           time_point now);

} // namespace buckthornvale::decision::retry

#endif
