#ifndef BUCKTHORNVALE_DECISION_RETRY_HEDGE_POLICY_HPP
#define BUCKTHORNVALE_DECISION_RETRY_HEDGE_POLICY_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/retry/deadline_split.hpp>
#include <buckthornvale/decision/retry/retry_budget.hpp>

#include <cstdint>
#include <optional>

namespace buckthornvale::decision::retry
{

//! A running stage attempt that a second copy might race.
struct hedge_query
{
    remaining_stage stage;
    bool repeatable = false;      //!< stage_settings::repeatable
    bool hedging_enabled = false; //!< stage_settings::hedge
    bool hedged = false;          //!< a second copy was already sent
    time_point started;           //!< of the first attempt
    time_point deadline;          //!< of the stage
};

//! Decides when a second copy of a lookup is sent to another runner.
class hedge_policy
{
public:
    //! Times that must be measured before the p95 counts.
    static constexpr std::uint64_t min_samples = 100;

    //! When to ask `may_hedge`: the start plus the measured p95. Empty when
    //! the stage is not repeatable or not marked, when too few times are
    //! measured, or when a copy could not end within the deadline.
    std::optional<time_point> hedge_time(hedge_query const& query,
                                         deadline_split const& times) const;

    //! True when the copy may be sent now; takes a token of the budget.
    bool may_hedge(hedge_query const& query, deadline_split const& times,
                   retry_budget& budget, time_point now) const;
};

} // namespace buckthornvale::decision::retry

#endif
