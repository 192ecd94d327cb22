#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_UPSTREAM_POOL_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_UPSTREAM_POOL_HPP

#include <buckthornvale/serving/upstream/call_watch.hpp>
#include <buckthornvale/serving/upstream/runner_calls.hpp>
#include <buckthornvale/serving/upstream/worker_pool.hpp>

#include <chrono>
#include <cstddef>

namespace buckthornvale::serving::upstream
{

//! Settings of the upstream pool.
struct upstream_settings
{
    std::size_t max_calls = 128; //!< calls to runners at once
    std::size_t max_queued_calls = 128;
    //! Threads for cancels, outcome queries and orders, so that these do not
    //! wait behind calls.
    std::size_t control_threads = 4;
    std::size_t max_queued_controls = 256;
    //! Longest time for one cancel, outcome query or order.
    std::chrono::milliseconds control_timeout{2000};
    call_limits call;
};

//! Executes calls to runners with blocking clients on a bounded number of
//! threads. Each call uses a connection of its own: on a kept-alive one a
//! connection that the runner closed meanwhile cannot be told from a request
//! that was lost while it ran.
class upstream_pool : public runner_calls
{
public:
    upstream_pool(upstream_settings const& settings, runner_listener& listener);
    //! Cancels the calls that still run and waits for their end.
    ~upstream_pool() override;

    //! A call that finds no thread and no room in the queue, or whose budget
    //! passes in the queue, ends as `not_started`.
    void start(decision::requests::start_attempt attempt) override;
    void cancel(decision::requests::cancel_attempt attempt) override;
    void ask(decision::requests::ask_service_outcome query) override;
    void order(engine_order value) override;

private:
    void run(std::shared_ptr<runner_call> const& call);
    void tell_cancelled(decision::requests::start_attempt const& attempt) const;
    decision::requests::service_outcome_told
    fetch_outcome(decision::requests::ask_service_outcome const& query) const;
    order_result
    send_order(engine_order const& value,
               std::chrono::steady_clock::time_point deadline) const;

    upstream_settings settings_;
    runner_listener& listener_;
    call_watch watch_;
    worker_pool calls_;
    worker_pool controls_;
};

} // namespace buckthornvale::serving::upstream

#endif
