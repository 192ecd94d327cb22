#ifndef BUCKTHORNVALE_DECISION_ROUTING_DETAIL_SAMPLING_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_DETAIL_SAMPLING_HPP

#include <buckthornvale/decision/routing/candidates.hpp>

#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::routing::detail
{

//! A random runner of `from`, or `no_index` when it is empty. The choice may
//! be excluded by the query.
inline runner_index draw(absl::Span<runner_index const> from, pcg32& random)
{
    if (from.empty())
        return no_index;
    return from[random(static_cast<std::uint32_t>(from.size()))];
}

constexpr std::size_t max_samples = 8;

//! Calls `use` with `n` different random runners of `from` (Floyd's method),
//! or with all when it has fewer; at most `most_samples`. With repeats, a
//! small pool's worst runner would at times be the only sample.
template <class Visitor>
void draw_distinct(absl::Span<runner_index const> from, std::size_t n,
                   pcg32& random, Visitor visit)
{
    std::array<std::size_t, max_samples> drawn{};
    n = std::min({n, from.size(), max_samples});
    if (n == 0)
        return;
    // Floyd's method draws the last positions late; the turn makes each
    // position equally likely to come first, which decides between equals.
    std::size_t const rotation =
        random(static_cast<std::uint32_t>(from.size()));
    for (std::size_t i = 0; i < n; ++i)
    {
        std::size_t const last = from.size() - n + i;
        std::size_t at = random(static_cast<std::uint32_t>(last + 1));
        auto const end = drawn.begin() + static_cast<std::ptrdiff_t>(i);
        if (std::find(drawn.begin(), end, at) != end)
            at = last;
        drawn[i] = at;
        visit(from[(at + rotation) % from.size()]);
    }
}

//! The first allowed runner from a random position on.
inline runner_index draw_allowed(candidates const& from, pcg32& random)
{
    auto const usable = from.usable();
    if (usable.empty())
        return no_index;
    std::size_t const n = usable.size();
    std::size_t const first = random(static_cast<std::uint32_t>(n));
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const index = usable[(first + i) % n];
        if (from.allowed(index))
            return index;
    }
    return no_index;
}

//! Keeps the runner of least cost among those offered.
class lowest_cost
{
public:
    void offer(runner_index index, double cost)
    {
        if (index_ != no_index && cost >= cost_)
            return;
        index_ = index;
        cost_ = cost;
    }

    runner_index index() const { return index_; }

private:
    runner_index index_ = no_index;
    double cost_ = 0.;
};

} // namespace buckthornvale::decision::routing::detail

#endif
