#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CALL_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_RUNNER_CALL_HPP

#include <buckthornvale/decision/requests/attempt_messages.hpp>

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>

namespace buckthornvale::serving::upstream
{

//! Bounds of one call.
struct call_limits
{
    std::chrono::milliseconds connect{1000};
    std::size_t max_answer_bytes =
        std::size_t{4} * 1024 * 1024;                     //!< not streamed
    std::size_t max_event_bytes = std::size_t{64} * 1024; //!< one token event
};

//! Why a call was stopped from outside.
enum class stop_reason
{
    none,
    cancelled,
    timed_out
};

//! One blocking call to a runner over a connection of its own.
class runner_call
{
public:
    using token_handler =
        std::function<void(decision::requests::attempt_token)>;

    //! The budget counts from now.
    runner_call(decision::requests::start_attempt attempt,
                call_limits const& limits, token_handler on_token);

    //! Performs the call; blocks until it ends. The owner calls stop() with
    //! `timed_out` at the deadline.
    decision::requests::attempt_ended run();

    //! Makes run() return early. Thread-safe. A stop that races with the
    //! connect has no effect on the socket, so it is repeated until run()
    //! has returned; the first reason counts.
    void stop(stop_reason reason);

    decision::requests::start_attempt const& attempt() const
    {
        return attempt_;
    }
    std::chrono::steady_clock::time_point deadline() const { return deadline_; }

private:
    struct exchange;

    decision::requests::attempt_ended judge(httplib::Error error,
                                            exchange const& seen) const;
    decision::requests::attempt_ended
    ended(decision::requests::attempt_outcome result, std::string detail) const;
    bool take_event(exchange& seen, std::string_view name,
                    std::string_view data) const;
    std::chrono::microseconds left() const;

    decision::requests::start_attempt attempt_;
    call_limits limits_;
    token_handler on_token_;
    std::chrono::steady_clock::time_point begin_;
    std::chrono::steady_clock::time_point deadline_;
    std::atomic<stop_reason> reason_{stop_reason::none};
    httplib::Client client_;
};

} // namespace buckthornvale::serving::upstream

#endif
