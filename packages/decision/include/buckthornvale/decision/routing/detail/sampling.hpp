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

//! Returns a random runner of `from`, or `no_index` if it is empty. The query
//! may exclude the returned runner.
inline runner_index draw(absl::Span<runner_index const> from, pcg32& random)
{
    if (from.empty())
        return no_index;
    return from[random(static_cast<std::uint32_t>(from.size()))];
}

constexpr std::size_t max_samples = 8;

//! Calls `visit` with `n` different random runners of `from` (Floyd's method),
//! or with all if it has fewer; at most `max_samples`. With repeated draws, the
//! worst runner of a small pool would sometimes be the only sample.
template <class Visitor>
void draw_distinct(absl::Span<runner_index const> from, std::size_t n,
                   pcg32& random, Visitor visit)
{
    std::array<std::size_t, max_samples> drawn{};
    n = std::min({n, from.size(), max_samples});
    if (n == 0)
        return;
    // Floyd's method draws the last positions late. The rotation makes each
    // position equally likely to come first, which decides ties.
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

//! Returns the first allowed runner at or after a random position.
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

//! Keeps the runner with the lowest cost of those offered.
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
