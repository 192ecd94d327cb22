#ifndef BUCKTHORNVALE_STANDINS_COMMON_PREFIX_CACHE_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_PREFIX_CACHE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornvale::standins
{

//! Bounded cache of prompt blocks, least recently used out first, with the
//! events that an engine publishes about it. Thread-safe.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

    //! Takes a prompt's blocks into the cache; gives the number of leading
    //! blocks that were there. Each `gap`-th event is lost (0: none), and the
    //! others appear after `delay`.
    std::size_t use(std::vector<std::uint64_t> const& blocks,
                    std::chrono::milliseconds delay, std::uint32_t gap);
    void clear(std::chrono::milliseconds delay, std::uint32_t gap);

    //! Body of GET /v1/cache_events?from=.
    std::string events_json(std::uint64_t from) const;

private:
    struct event
    {
        std::uint64_t sequence;
        char const* kind;
        std::vector<std::uint64_t> blocks;
        std::chrono::steady_clock::time_point visible_at;
    };

    void publish(char const* kind, std::vector<std::uint64_t> blocks,
                 std::chrono::milliseconds delay, std::uint32_t gap);
    void touch(std::uint64_t block);

    std::size_t const max_blocks_;
    mutable std::mutex mutex_;
    std::list<std::uint64_t> order_; //!< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        present_;
    std::deque<event> events_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace buckthornvale::standins

#endif
