#ifndef BUCKTHORNVALE_SERVING_HTTP_REPLY_CHANNEL_HPP
#define BUCKTHORNVALE_SERVING_HTTP_REPLY_CHANNEL_HPP

#include <buckthornvale/decision/requests/caller_messages.hpp>
#include <buckthornvale/serving/http/wake_event.hpp>

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace buckthornvale::serving::http
{

//! One message to a caller.
using reply = std::variant<decision::requests::send_token,
                           decision::requests::send_answer>;

//! Carries the replies to one request from the event loop to the thread that
//! serves its caller. deliver() is thread-safe and does not block; wait() is
//! for one thread.
class reply_channel
{
public:
    //! Tokens that the caller has not taken may hold `max_pending_bytes`.
    explicit reply_channel(std::size_t max_pending_bytes);

    void deliver(decision::requests::send_token const& message);
    void deliver(decision::requests::send_answer const& message);

    //! Waits for the next reply. Gives nothing when the caller closed its
    //! socket or takes its tokens too slowly.
    std::optional<reply> wait(int caller_socket);

private:
    std::optional<reply> take();

    std::size_t const max_pending_bytes_;
    wake_event ready_;
    std::mutex mutex_;
    std::deque<reply> pending_;
    std::size_t pending_bytes_ = 0;
    bool overflowed_ = false;
};

} // namespace buckthornvale::serving::http

#endif
