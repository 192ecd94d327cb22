#ifndef BUCKTHORNVALE_DECISION_GATEWAY_REFUSAL_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_REFUSAL_HPP

namespace buckthornvale::decision::gateway
{

//! Why the gateway itself answers a request with an error.
enum class refusal
{
    none,
    no_manifest,
    vm_starting, //!< does not know yet what crashes runners
    unknown_route,
    unknown_key,
    unusable_route,   //!< the manifest's route has a defect
    unmatched_pieces, //!< the request counts the pieces of other stages
    no_runner,
    runners_full,
    runners_limited, //!< this VM has used its shares of their limits
    cannot_finish_in_time,
    stage_failed,
    crashes_runners,
    vm_stopping,
    runner_failed,
    no_answer_in_time,
    bad_answer
};

//! Fixed properties of a refusal.
struct refusal_traits
{
    refusal reason;
    int status;       //!< status if the request was not executed
    char const* name; //!< stable name in logs and metrics
};

refusal_traits const& traits_of(refusal reason);

//! True for statuses that tell the caller that the request was not executed and
//! will not be.
bool states_not_run(int status);

} // namespace buckthornvale::decision::gateway

#endif
