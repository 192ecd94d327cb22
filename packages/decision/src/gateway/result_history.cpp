#include <buckthornvale/decision/gateway/result_history.hpp>

namespace buckthornvale::decision::gateway
{

void result_history::add(std::string const& handle, time_point now)
{
    if (handles_.insert(handle).second)
        entries_.push_back({now, handle});
}

bool result_history::contains(std::string const& handle) const
{
    return handles_.contains(handle);
}

void result_history::expire(time_point now)
{
    while (!entries_.empty() && now - entries_.front().added_at > memory_time)
    {
        handles_.erase(entries_.front().handle);
        entries_.pop_front();
    }
}

} // namespace buckthornvale::decision::gateway
