#include <buckthornvale/decision/routing/prefix_index.hpp>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

//! Resolution of the time of last use.
constexpr duration stamp_unit = std::chrono::milliseconds(100);

} // namespace

void prefix_matches::add(cache_holder holder, std::uint32_t blocks)
{
    for (std::size_t i = 0; i < size_; ++i)
    {
        if (items_[i].holder.runner == holder.runner)
        {
            if (items_[i].blocks < blocks)
                items_[i] = {holder, blocks};
            return;
        }
    }
    if (size_ < capacity)
        items_[size_++] = {holder, blocks};
}

std::uint32_t prefix_matches::blocks_of(runner_index runner) const
{
    for (std::size_t i = 0; i < size_; ++i)
    {
        if (items_[i].holder.runner == runner)
            return items_[i].blocks;
    }
    return 0;
}

prefix_index::prefix_index(std::size_t entries, duration lifetime)
    : lifetime_(static_cast<std::uint32_t>(lifetime / stamp_unit))
{
    std::size_t buckets = 1;
    while (buckets * ways < entries)
        buckets *= 2;
    entries_.resize(buckets * ways);
    mask_ = buckets - 1;
}

void prefix_index::add(absl::Span<std::uint64_t const> blocks,
                       cache_holder holder, time_point now)
{
    auto const now_stamp = stamp(now);
    for (auto key : blocks.subspan(0, max_blocks))
    {
        auto& holders = find_or_replace_entry(key, now_stamp).holders;
        auto const same = [holder](cache_holder it)
        { return it.runner == holder.runner; };
        auto at = std::find_if(holders.begin(), holders.end(), same);
        if (at == holders.end())
            at = holders.end() - 1;
        // Most recent first, so that the oldest holder is the one replaced.
        std::move_backward(holders.begin(), at, at + 1);
        holders.front() = holder;
    }
}

void prefix_index::remove(absl::Span<std::uint64_t const> blocks,
                          runner_index runner)
{
    for (auto key : blocks)
    {
        auto* const first = &entries_[bucket_of(key)];
        auto const same_key = [key](entry const& it) { return it.key == key; };
        auto* const at = std::find_if(first, first + ways, same_key);
        if (at == first + ways)
            continue;
        auto& holders = at->holders;
        auto const same = [runner](cache_holder it)
        { return it.runner == runner; };
        auto const end = std::remove_if(holders.begin(), holders.end(), same);
        std::fill(end, holders.end(), cache_holder{});
    }
}

void prefix_index::find(absl::Span<std::uint64_t const> blocks, time_point now,
                        prefix_matches& out) const
{
    blocks = blocks.subspan(0, max_blocks);
    auto const now_stamp = stamp(now);
    auto const oldest = now_stamp > lifetime_ ? now_stamp - lifetime_ : 0;
    // Blocks in [0, low) are held; blocks from high on are not.
    std::size_t low = 0;
    std::size_t high = blocks.size();
    while (low < high)
    {
        auto const middle = low + (high - low) / 2;
        auto const* const found = find_entry(blocks[middle], oldest);
        if (found == nullptr || found->holders.front().runner == no_index)
        {
            high = middle;
            continue;
        }
        low = middle + 1;
        for (auto it : found->holders)
        {
            if (it.runner != no_index)
                out.add(it, static_cast<std::uint32_t>(low));
        }
    }
}

std::size_t prefix_index::bytes() const
{
    return entries_.capacity() * sizeof(entry);
}

std::uint32_t prefix_index::stamp(time_point now)
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / stamp_unit) + 1;
}

std::size_t prefix_index::bucket_of(std::uint64_t key) const
{
    return (static_cast<std::size_t>(key ^ (key >> 32)) & mask_) * ways;
}

prefix_index::entry const* prefix_index::find_entry(std::uint64_t key,
                                                    std::uint32_t oldest) const
{
    auto const* const first = &entries_[bucket_of(key)];
    for (auto const* it = first; it != first + ways; ++it)
    {
        if (it->key == key && it->last_used >= oldest)
            return it;
    }
    return nullptr;
}

prefix_index::entry& prefix_index::find_or_replace_entry(std::uint64_t key,
                                                         std::uint32_t now)
{
    auto* const first = &entries_[bucket_of(key)];
    auto* oldest = first;
    for (auto* it = first; it != first + ways; ++it)
    {
        if (it->key == key)
        {
            it->last_used = now;
            return *it;
        }
        if (it->last_used < oldest->last_used)
            oldest = it;
    }
    *oldest = entry{};
    oldest->key = key;
    oldest->last_used = now;
    return *oldest;
}

} // namespace buckthornvale::decision::routing
