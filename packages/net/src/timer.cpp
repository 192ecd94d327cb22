#include <buckthornvale/net/timer.hpp>

#include <utility>

namespace buckthornvale::net
{

void timer::start(duration delay, handler on_expiry)
{
    handler_ = std::make_shared<handler>(std::move(on_expiry));
    timer_.expires_after(delay);
    timer_.async_wait(
        [current = std::weak_ptr<handler>(handler_)](asio::error_code ec)
        {
            if (ec)
                return;
            // Keeps the handler alive if it starts or destroys the timer.
            if (auto const kept = current.lock())
                (*kept)();
        });
}

} // namespace buckthornvale::net
