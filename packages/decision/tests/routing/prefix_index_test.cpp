#include <buckthornvale/decision/routing/cache_tracker.hpp>
#include <buckthornvale/decision/routing/prefix_index.hpp>

#include <gtest/gtest.h>

#include <numeric>
#include <vector>

namespace buckthornvale::decision::routing
{
namespace
{

using std::chrono::minutes;

time_point const start{minutes(50)};

std::vector<std::uint64_t> blocks(std::uint64_t first, std::size_t n)
{
    std::vector<std::uint64_t> result(n);
    std::iota(result.begin(), result.end(), first);
    return result;
}

std::uint32_t found(prefix_index const& index,
                    std::vector<std::uint64_t> const& prompt,
                    runner_index runner, time_point now)
{
    prefix_matches matches;
    index.find(prompt, now, matches);
    return matches.blocks_of(runner);
}

// Guards against a match that is longer or shorter than what the runner holds.
TEST(prefix_index, finds_how_much_of_a_prompt_a_runner_holds)
{
    prefix_index index(1024, minutes(10));
    index.add(blocks(100, 20), {3, 0}, start);
    EXPECT_EQ(found(index, blocks(100, 40), 3, start), 20U);
    EXPECT_EQ(found(index, blocks(500, 40), 3, start), 0U);
    index.remove(blocks(110, 10), 3);
    EXPECT_EQ(found(index, blocks(100, 40), 3, start), 10U);
    EXPECT_EQ(found(index, blocks(100, 40), 3, start + minutes(11)), 0U);
}

// Guards against memory that grows with the number of prompts seen.
TEST(prefix_index, stays_within_its_memory)
{
    prefix_index index(1024, minutes(10));
    auto const before = index.bytes();
    for (std::uint64_t i = 0; i < 10'000; ++i)
        index.add(blocks(i * 1000, 16), {1, 0}, start);
    EXPECT_EQ(index.bytes(), before);
}

// Guards against full trust in a cache whose removals may have been lost.
TEST(cache_tracker, trusts_a_cache_less_after_a_gap)
{
    prefix_index index(1024, minutes(10));
    cache_tracker cache;
    auto const prompt = blocks(100, 8);
    EXPECT_TRUE(
        cache.apply({1, cache_event_kind::add, prompt}, 2, index, start));
    EXPECT_EQ(cache.trust(), 1.);
    EXPECT_TRUE(
        cache.apply({5, cache_event_kind::add, prompt}, 2, index, start));
    EXPECT_EQ(cache.trust(), 0.5);
    for (std::uint64_t i = 6; i < 206; ++i)
        cache.apply({i, cache_event_kind::add, prompt}, 2, index, start);
    EXPECT_GT(cache.trust(), 0.95);
}

// Guards against a repeated event that undoes a later one.
TEST(cache_tracker, ignores_an_event_seen_before)
{
    prefix_index index(1024, minutes(10));
    cache_tracker cache;
    auto const prompt = blocks(100, 8);
    cache.apply({1, cache_event_kind::remove, prompt}, 2, index, start);
    cache.apply({2, cache_event_kind::add, prompt}, 2, index, start);
    EXPECT_FALSE(
        cache.apply({1, cache_event_kind::remove, prompt}, 2, index, start));
    EXPECT_EQ(found(index, prompt, 2, start), 8U);
}

// Guards against dropping the events of a restarted engine as old ones.
TEST(cache_tracker, follows_an_engine_that_restarts)
{
    prefix_index index(1024, minutes(10));
    cache_tracker cache;
    cache.apply({900, cache_event_kind::add, blocks(1, 2)}, 2, index, start);
    auto const generation = cache.generation();
    EXPECT_TRUE(cache.apply({1, cache_event_kind::clear, {}}, 2, index, start));
    EXPECT_NE(cache.generation(), generation);
    EXPECT_TRUE(
        cache.apply({2, cache_event_kind::add, blocks(1, 2)}, 2, index, start));
}

} // namespace
} // namespace buckthornvale::decision::routing
