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

//! Event loop on its own thread, for owners that are called from other threads.
//! State that the owner shares with the loop must only be accessed on the loop.
class loop_thread
{
public:
    using tick_function = std::function<void(time_point now)>;

    loop_thread();
    ~loop_thread();
    loop_thread(loop_thread const&) = delete;
    loop_thread& operator=(loop_thread const&) = delete;

    asio::io_context& loop() { return loop_; }

    //! Starts the thread and calls `on_tick` on the loop every `period`.
    void start(duration period, tick_function on_tick);

    //! Stops the loop and joins its thread. Tasks still queued may not run.
    void stop();

    template <class Task>
    void post(Task&& task)
    {
        asio::post(loop_, std::forward<Task>(task));
    }

    //! Runs the task on the loop and waits until it has finished. Must not be
    //! called on the loop, where it would deadlock.
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
