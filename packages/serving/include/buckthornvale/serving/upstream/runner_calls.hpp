#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CALLS_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CALLS_HPP

#include <buckthornvale/decision/requests/attempt_messages.hpp>

#include <cstdint>
#include <string>

namespace buckthornvale::serving::upstream
{

//! An order to an engine (POST /v1/orders).
struct engine_order
{
    decision::runner_id runner;
    std::string host;
    std::uint16_t port = 0;
    std::uint64_t fencing = 0; //!< version of the lease object
    std::string kind;          //!< load, unload, adapter, version or role
    std::string name;
    //! Time for which the sender may still give orders, from the call of
    //! order(). An order that has not been sent by then is not sent.
    decision::duration valid_for = std::chrono::seconds(2);
};

//! What became of an order.
enum class order_result
{
    accepted,
    stale_fencing, //!< the engine saw a higher fencing number before
    failed         //!< not known to have been taken
};

struct order_answered
{
    engine_order order;
    order_result result = order_result::failed;
};

//! Takes what runners answer. Called on the threads of the calls, also while
//! start() or cancel() runs; must not block.
class runner_listener
{
public:
    virtual ~runner_listener() = default;
    virtual void token(decision::requests::attempt_token message) = 0;
    //! Comes exactly once for each started attempt, after its last token.
    virtual void ended(decision::requests::attempt_ended message) = 0;
    virtual void
    outcome_told(decision::requests::service_outcome_received message) = 0;
    virtual void ordered(order_answered message) = 0;
};

//! Calls to runners. No function blocks on a runner.
class runner_calls
{
public:
    virtual ~runner_calls() = default;
    virtual void start(decision::requests::start_attempt attempt) = 0;
    //! Ends the call at once with `cancelled`, and tells the runner.
    virtual void cancel(decision::requests::cancel_attempt attempt) = 0;
    virtual void ask(decision::requests::query_service_outcome query) = 0;
    virtual void order(engine_order value) = 0;
};

} // namespace buckthornvale::serving::upstream

#endif
