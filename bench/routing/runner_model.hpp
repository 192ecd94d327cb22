#ifndef BUCKTHORNVALE_BENCH_ROUTING_RUNNER_MODEL_HPP
#define BUCKTHORNVALE_BENCH_ROUTING_RUNNER_MODEL_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>

namespace buckthornvale::bench
{

//! Least recently used set of cached prompt blocks.
class block_cache
{
public:
    explicit block_cache(std::size_t capacity) : capacity_(capacity) {}

    //! Leading blocks that are held.
    std::size_t held(absl::Span<std::uint64_t const> blocks) const;

    void use(absl::Span<std::uint64_t const> blocks);
    void clear();

private:
    std::size_t capacity_;
    std::list<std::uint64_t> order_; //!< latest first
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator> at_;
};

//! A runner with `slots` servers, one queue in order of arrival, a speed and a
//! prompt cache.
struct runner_model
{
    double speed = 1.;
    std::size_t slots = 8;
    std::size_t running = 0;
    std::deque<std::size_t> queue; //!< requests that wait
    block_cache prompts{2048};
    block_cache adapters{8};
};

} // namespace buckthornvale::bench

#endif
