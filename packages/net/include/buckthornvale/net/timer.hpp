#ifndef BUCKTHORNVALE_NET_TIMER_HPP
#define BUCKTHORNVALE_NET_TIMER_HPP

#include <buckthornvale/net/clock.hpp>

#include <asio/any_io_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace buckthornvale::net
{

//! Timer whose handler does not run after the timer has been destroyed or
//! started again. asio::steady_timer gives no such guarantee: a handler that is
//! already queued still runs, and without an error.
class timer
{
public:
    using handler = std::function<void()>;

    explicit timer(asio::io_context& loop) : timer_(loop) {}
    explicit timer(asio::any_io_executor const& executor) : timer_(executor) {}

    //! Calls the handler once after the delay. Replaces the previous handler.
    void start(duration delay, handler on_expiry);

    //! The handler is not called any more.
    void stop() { handler_.reset(); }

private:
    asio::steady_timer timer_;
    std::shared_ptr<handler> handler_;
};

} // namespace buckthornvale::net

#endif
