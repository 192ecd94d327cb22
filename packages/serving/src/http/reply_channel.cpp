#include <buckthornvale/serving/http/reply_channel.hpp>

#include <cerrno>
#include <poll.h>

namespace buckthornvale::serving::http
{

namespace requests = decision::requests;

namespace
{

constexpr short hang_up_events = POLLRDHUP | POLLHUP | POLLERR;

//! Size charged for a token beside its text.
constexpr std::size_t token_overhead = 64;

std::size_t size_of(reply const& message)
{
    auto const* token = std::get_if<requests::send_token>(&message);
    return token == nullptr ? 0 : token->text.size() + token_overhead;
}

} // namespace

reply_channel::reply_channel(std::size_t max_pending_bytes)
    : max_pending_bytes_(max_pending_bytes)
{
}

void reply_channel::deliver(requests::send_token const& message)
{
    {
        std::lock_guard lock(mutex_);
        reply item = message;
        pending_bytes_ += size_of(item);
        overflowed_ = overflowed_ || pending_bytes_ > max_pending_bytes_;
        if (!overflowed_)
            pending_.push_back(std::move(item));
    }
    ready_.signal();
}

void reply_channel::deliver(requests::send_answer const& message)
{
    {
        std::lock_guard lock(mutex_);
        pending_.emplace_back(message);
    }
    ready_.signal();
}

std::optional<reply> reply_channel::take()
{
    std::lock_guard lock(mutex_);
    if (pending_.empty())
        return std::nullopt;
    auto item = std::move(pending_.front());
    pending_.pop_front();
    pending_bytes_ -= size_of(item);
    return item;
}

std::optional<reply> reply_channel::wait(int caller_socket)
{
    for (;;)
    {
        ready_.clear();
        {
            std::lock_guard lock(mutex_);
            if (overflowed_)
                return std::nullopt;
        }
        if (auto item = take())
            return item;
        pollfd entries[] = {{caller_socket, POLLRDHUP, 0},
                            {ready_.descriptor(), POLLIN, 0}};
        auto const n = ::poll(entries, 2, -1);
        if (n < 0 && errno != EINTR)
            return std::nullopt;
        // A reply that is there is sent even to a caller that has closed its
        // sending side.
        if (n > 0 && (entries[1].revents & POLLIN) != 0)
            continue;
        if (n > 0 && (entries[0].revents & hang_up_events) != 0)
            return std::nullopt;
    }
}

} // namespace buckthornvale::serving::http
