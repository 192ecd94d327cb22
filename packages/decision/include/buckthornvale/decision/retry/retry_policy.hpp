#ifndef BUCKTHORNVALE_DECISION_RETRY_RETRY_POLICY_HPP
#define BUCKTHORNVALE_DECISION_RETRY_RETRY_POLICY_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/retry/retry_budget.hpp>

#include <cstdint>

namespace buckthornvale::decision::retry
{

//! An attempt that failed. The caller excludes all runners tried before.
struct failed_attempt
{
    bool repeatable = false;    //!< the stage may run more than once
    bool may_have_run = true;   //!< false when it provably did not start
    std::uint32_t attempts = 1; //!< of the stage, this one included
    time_point deadline;        //!< of the stage
    duration expected{};        //!< usual time of the stage (median)
};

enum class retry_verdict
{
    retry,
    not_repeatable,
    insufficient_time,
    too_many_attempts,
    budget_exhausted
};

//! Attempts of one stage, the first included.
constexpr std::uint32_t max_attempts = 3;

//! Attempts of one stage while none of them started: after a failure domain
//! is lost, the first runners that are tried may all refuse.
constexpr std::uint32_t max_unstarted_attempts = 8;

//! Decides on a retry. It takes a token unless the failed attempt provably
//! did not start. A stage that must not run twice
//! is tried again only when the failed attempt provably did not start.
retry_verdict decide_retry(failed_attempt const& failed, retry_budget& budget,
                           time_point now);

} // namespace buckthornvale::decision::retry

#endif
