#include <buckthornvale/serving/http/reply_table.hpp>

namespace buckthornvale::serving::http
{

reply_table::reply_table(std::size_t max_waiting) : max_waiting_(max_waiting) {}

std::shared_ptr<reply_channel> reply_table::add(decision::request_id id,
                                                std::size_t max_pending_bytes)
{
    std::lock_guard lock(mutex_);
    if (channels_.size() >= max_waiting_)
        return nullptr;
    auto channel = std::make_shared<reply_channel>(max_pending_bytes);
    channels_.emplace(id, channel);
    return channel;
}

void reply_table::remove(decision::request_id id)
{
    std::lock_guard lock(mutex_);
    channels_.erase(id);
}

std::size_t reply_table::size() const
{
    std::lock_guard lock(mutex_);
    return channels_.size();
}

std::shared_ptr<reply_channel> reply_table::find(decision::request_id id) const
{
    std::lock_guard lock(mutex_);
    auto const it = channels_.find(id);
    return it == channels_.end() ? nullptr : it->second;
}

} // namespace buckthornvale::serving::http
