#ifndef BUCKTHORNVALE_DECISION_ROUTING_PREFIX_INDEX_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_PREFIX_INDEX_HPP

#include <buckthornvale/decision/routing/types.hpp>

#include <absl/types/span.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::routing
{

//! One generation of a runner's cache. Raising the generation invalidates all
//! index entries of the runner at once.
struct cache_holder
{
    runner_index runner = no_index;
    std::uint16_t generation = 0;
};

//! Number of a prompt's blocks that a runner is estimated to hold.
struct prefix_match
{
    cache_holder holder;
    std::uint32_t blocks = 0;
};

//! Matches of one lookup, at most one per runner.
class prefix_matches
{
public:
    static constexpr std::size_t capacity = 12;

    //! Keeps the longer match of a runner; drops the match when full.
    void add(cache_holder holder, std::uint32_t blocks);

    absl::Span<prefix_match const> span() const
    {
        return {items_.data(), size_};
    }

    //! Blocks held by the runner, 0 when it has no match.
    std::uint32_t blocks_of(runner_index runner) const;

private:
    std::array<prefix_match, capacity> items_{};
    std::size_t size_ = 0;
};

//! Maps cached blocks to the runners that hold them: a set-associative table of
//! fixed size, so that its memory is bounded and no call allocates.
class prefix_index
{
public:
    //! `entries` is rounded up to a power of two.
    prefix_index(std::size_t entries, duration lifetime);

    void add(absl::Span<std::uint64_t const> blocks, cache_holder holder,
             time_point now);
    void remove(absl::Span<std::uint64_t const> blocks, runner_index runner);

    //! Finds holders of the longest prefixes by binary search over the blocks,
    //! since the hash of a block covers all blocks before it. Does not compare
    //! generations.
    void find(absl::Span<std::uint64_t const> blocks, time_point now,
              prefix_matches& out) const;

    std::size_t bytes() const;

private:
    static constexpr std::size_t ways = 4;
    static constexpr std::size_t holders_per_entry = 4;
    //! Maximum number of indexed blocks per prompt.
    static constexpr std::size_t max_blocks = 128;

    struct entry
    {
        std::uint64_t key = 0; //!< 0: free
        std::uint32_t last_used = 0;
        std::array<cache_holder, holders_per_entry> holders;
    };

    static std::uint32_t stamp(time_point now);
    std::size_t bucket_of(std::uint64_t key) const;
    entry const* find_entry(std::uint64_t key, std::uint32_t oldest) const;
    entry& find_or_replace_entry(std::uint64_t key, std::uint32_t now);

    std::vector<entry> entries_;
    std::size_t mask_ = 0; //!< number of buckets - 1
    std::uint32_t lifetime_ = 0;
};

} // namespace buckthornvale::decision::routing

#endif
