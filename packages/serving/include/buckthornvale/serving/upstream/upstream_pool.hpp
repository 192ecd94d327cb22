#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_UPSTREAM_POOL_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_UPSTREAM_POOL_HPP

#include <buckthornvale/net/loop_thread.hpp>
#include <buckthornvale/net/short_call.hpp>
#include <buckthornvale/serving/upstream/runner_call.hpp>
#include <buckthornvale/serving/upstream/runner_calls.hpp>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>

namespace buckthornvale::serving::upstream
{

//! Settings of the upstream pool.
struct upstream_settings
{
    std::size_t max_calls = 128; //!< calls to runners at once
    std::size_t max_queued_calls = 128;
    //! Cancels, outcome queries and orders at once; they do not wait behind
    //! calls.
    std::size_t max_controls = 256;
    //! Longest time for one cancel, outcome query or order.
    std::chrono::milliseconds control_timeout{2000};
    call_limits call;
};

//! Executes calls to runners on one event loop with a thread of its own.
class upstream_pool final : public runner_calls
{
public:
    upstream_pool(upstream_settings const& settings, runner_listener& listener);
    //! Cancels the calls that still run.
    ~upstream_pool() override;

    //! A call that finds no room in the queue, or whose budget passes there,
    //! ends as `not_started`.
    void start(decision::requests::start_attempt attempt) override;
    void cancel(decision::requests::cancel_attempt attempt) override;
    void ask(decision::requests::query_service_outcome query) override;
    void order(engine_order value) override;

private:
    using call_ptr = std::shared_ptr<runner_call>;

    void admit(decision::requests::start_attempt attempt,
               decision::time_point now);
    void call_ended(decision::requests::attempt_ended message);
    void start_queued();
    void abandon(decision::attempt_id id);
    void tell_cancelled(decision::requests::start_attempt const& attempt);
    void fetch_outcome(decision::requests::query_service_outcome const& query);
    void send_order(engine_order const& value, decision::time_point deadline);

    //! Makes a control call; `done` gets a failure at once when there are too
    //! many.
    void control(std::string const& address, net::short_request request,
                 decision::duration timeout, net::call_done done);

    upstream_settings settings_;
    runner_listener& listener_;
    net::loop_thread loop_;

    // On the loop only.
    net::http_client client_;
    absl::flat_hash_map<decision::attempt_id, call_ptr> calls_;
    std::deque<call_ptr> queue_; //!< not sent yet, also in `calls_`
    std::size_t controls_ = 0;
};

} // namespace buckthornvale::serving::upstream

#endif
