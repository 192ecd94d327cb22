#ifndef BUCKTHORNVALE_SERVING_HTTP_REPLY_TABLE_HPP
#define BUCKTHORNVALE_SERVING_HTTP_REPLY_TABLE_HPP

#include <buckthornvale/serving/http/reply_channel.hpp>

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>

namespace buckthornvale::serving::http
{

//! The waiting callers by request id, bounded in number. Thread-safe.
class reply_table
{
public:
    explicit reply_table(std::size_t max_waiting);

    //! Adds a caller; null when the bound is reached.
    std::shared_ptr<reply_channel> add(decision::request_id id,
                                       std::size_t max_pending_bytes);
    void remove(decision::request_id id);
    std::size_t size() const;

    //! Hands a reply to its caller; false when the caller is not there (any
    //! more).
    template <class Message>
    bool deliver(Message const& message)
    {
        auto const channel = find(message.request);
        if (channel)
            channel->deliver(message);
        return channel != nullptr;
    }

private:
    std::shared_ptr<reply_channel> find(decision::request_id id) const;

    std::size_t const max_waiting_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<decision::request_id, std::shared_ptr<reply_channel>>
        channels_;
};

} // namespace buckthornvale::serving::http

#endif
