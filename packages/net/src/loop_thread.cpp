#include <buckthornvale/net/loop_thread.hpp>

#include <future>

namespace buckthornvale::net
{

time_point steady_now()
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

loop_thread::loop_thread()
    : work_guard_(asio::make_work_guard(loop_)), timer_(loop_)
{
}

loop_thread::~loop_thread()
{
    stop();
}

void loop_thread::start(duration period, tick_function on_tick)
{
    period_ = period;
    on_tick_ = std::move(on_tick);
    schedule_tick();
    thread_ = std::thread([this] { loop_.run(); });
}

void loop_thread::stop()
{
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

void loop_thread::run(std::function<void()> const& task)
{
    std::promise<void> done;
    post(
        [&]
        {
            task();
            done.set_value();
        });
    done.get_future().wait();
}

void loop_thread::schedule_tick()
{
    timer_.expires_after(period_);
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec)
                return;
            on_tick_(steady_now());
            schedule_tick();
        });
}

} // namespace buckthornvale::net
