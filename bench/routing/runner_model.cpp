#include "runner_model.hpp"

namespace buckthornvale::bench
{

std::size_t block_cache::held(absl::Span<std::uint64_t const> blocks) const
{
    std::size_t n = 0;
    while (n < blocks.size() && at_.contains(blocks[n]))
        ++n;
    return n;
}

void block_cache::use(absl::Span<std::uint64_t const> blocks)
{
    // The last block first, so that a prompt loses its end before its start.
    for (auto i = blocks.size(); i-- > 0;)
    {
        auto const it = at_.find(blocks[i]);
        if (it != at_.end())
        {
            order_.splice(order_.begin(), order_, it->second);
            continue;
        }
        order_.push_front(blocks[i]);
        at_[blocks[i]] = order_.begin();
    }
    while (order_.size() > capacity_)
    {
        at_.erase(order_.back());
        order_.pop_back();
    }
}

void block_cache::clear()
{
    order_.clear();
    at_.clear();
}

} // namespace buckthornvale::bench
