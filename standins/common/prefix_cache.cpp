#include "common/prefix_cache.hpp"

#include <nlohmann/json.hpp>

namespace buckthornvale::standins
{

namespace
{

constexpr std::size_t kept_events = 1024;

} // namespace

std::size_t prefix_cache::use(std::vector<std::uint64_t> const& blocks,
                              std::chrono::milliseconds delay,
                              std::uint32_t gap)
{
    std::lock_guard lock(mutex_);
    std::size_t hits = 0;
    while (hits < blocks.size() && present_.count(blocks[hits]) > 0)
        ++hits;
    std::vector<std::uint64_t> added;
    for (auto const it : blocks)
    {
        if (present_.count(it) == 0)
            added.push_back(it);
        touch(it);
    }
    std::vector<std::uint64_t> removed;
    while (order_.size() > max_blocks_)
    {
        removed.push_back(order_.back());
        present_.erase(order_.back());
        order_.pop_back();
    }
    if (!added.empty())
        publish("add", std::move(added), delay, gap);
    if (!removed.empty())
        publish("remove", std::move(removed), delay, gap);
    return hits;
}

void prefix_cache::clear(std::chrono::milliseconds delay, std::uint32_t gap)
{
    std::lock_guard lock(mutex_);
    order_.clear();
    present_.clear();
    publish("clear", {}, delay, gap);
}

void prefix_cache::touch(std::uint64_t block)
{
    auto const it = present_.find(block);
    if (it != present_.end())
        order_.erase(it->second);
    order_.push_front(block);
    present_[block] = order_.begin();
}

void prefix_cache::publish(char const* kind, std::vector<std::uint64_t> blocks,
                           std::chrono::milliseconds delay, std::uint32_t gap)
{
    auto const sequence = next_sequence_++;
    if (gap > 0 && sequence % gap == 0)
        return;
    auto const visible_at = std::chrono::steady_clock::now() + delay;
    events_.push_back({sequence, kind, std::move(blocks), visible_at});
    if (events_.size() > kept_events)
        events_.pop_front();
}

std::string prefix_cache::events_json(std::uint64_t from) const
{
    std::lock_guard lock(mutex_);
    auto const now = std::chrono::steady_clock::now();
    auto list = nlohmann::json::array();
    auto next = from;
    for (auto const& it : events_)
    {
        if (it.sequence < from)
            continue;
        if (it.visible_at > now)
            break;
        list.push_back({{"sequence", it.sequence},
                        {"kind", it.kind},
                        {"blocks", it.blocks}});
        next = it.sequence + 1;
    }
    return nlohmann::json({{"events", list}, {"next", next}}).dump();
}

} // namespace buckthornvale::standins
