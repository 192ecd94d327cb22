#ifndef BUCKTHORNVALE_DECISION_RETRY_HEDGE_POLICY_HPP
#define BUCKTHORNVALE_DECISION_RETRY_HEDGE_POLICY_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/retry/deadline_split.hpp>
#include <buckthornvale/decision/retry/retry_budget.hpp>

#include <cstdint>
#include <optional>

namespace buckthornvale::decision::retry
{

//! A running attempt of a stage that may be hedged by a second attempt.
struct hedge_query
{
    remaining_stage stage;
    bool repeatable = false;      //!< stage_settings::repeatable
    bool hedging_enabled = false; //!< stage_settings::hedge
    bool hedged = false;          //!< a second attempt was already sent
    time_point started;           //!< of the first attempt
    time_point deadline;          //!< of the stage
};

//! Decides when a second attempt of a slow stage is sent to another runner.
class hedge_policy
{
public:
    //! Samples required before the measured p95 is used.
    static constexpr std::uint64_t min_samples = 100;

    //! Earliest time at which `may_hedge` can return true: the start plus the
    //! measured p95. Empty when the stage is not repeatable or hedging is not
    //! enabled for it, when it was hedged already, when there are too few
    //! samples, or when a second attempt could not finish by the deadline.
    std::optional<time_point> hedge_time(hedge_query const& query,
                                         deadline_split const& times) const;

    //! True when a second attempt may be sent now. Takes a token from the
    //! budget in that case.
    bool may_hedge(hedge_query const& query, deadline_split const& times,
                   retry_budget& budget, time_point now) const;
};

} // namespace buckthornvale::decision::retry

#endif
