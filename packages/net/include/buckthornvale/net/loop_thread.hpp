#ifndef BUCKTHORNVALE_NET_LOOP_THREAD_HPP
#define BUCKTHORNVALE_NET_LOOP_THREAD_HPP

#include <buckthornvale/net/clock.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <thread>
#include <utility>

namespace buckthornvale::net
{

//! An event loop on a thread of its own, for owners that are called from other
//! threads. What the owner keeps for the loop is touched on the loop only.
class loop_thread
{
public:
    using tick_function = std::function<void(time_point now)>;

    loop_thread();
    ~loop_thread();
    loop_thread(loop_thread const&) = delete;
    loop_thread& operator=(loop_thread const&) = delete;

    asio::io_context& loop() { return loop_; }

    //! Calls `on_tick` on the loop every `period` from now on.
    void start(duration period, tick_function on_tick);

    //! Ends the loop and joins its thread; posted tasks may not run.
    void stop();

    template <class Task>
    void post(Task&& task)
    {
        asio::post(loop_, std::forward<Task>(task));
    }

    //! Runs the task on the loop and waits for its end. Not for the loop.
    void run(std::function<void()> const& task);

private:
    void schedule_tick();

    asio::io_context loop_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    asio::steady_timer timer_;
    duration period_{};
    tick_function on_tick_;
    std::thread thread_;
};

} // namespace buckthornvale::net

#endif
