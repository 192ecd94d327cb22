#include <buckthornvale/decision/routing/detail/sampling.hpp>
#include <buckthornvale/decision/routing/expected_completion.hpp>

namespace buckthornvale::decision::routing
{

namespace
{

void offer(candidates const& from, runner_index index,
           detail::lowest_cost& best)
{
    if (index != no_index && from.allowed(index))
        best.offer(index, from.cost(index));
}

void offer_matches(candidates const& from,
                   absl::Span<prefix_match const> matches,
                   detail::lowest_cost& best)
{
    for (auto const& it : matches)
    {
        if (from.is_live(it))
            offer(from, it.holder.runner, best);
    }
}

} // namespace

runner_index expected_completion::choose(candidates const& from, pcg32& random)
{
    detail::lowest_cost best;
    detail::draw_distinct(from.usable(), samples_, random,
                          [&](runner_index it) { offer(from, it, best); });
    auto const local = from.prefers_local() ? local_samples_ : 0;
    for (std::size_t i = 0; i < local; ++i)
        offer(from, detail::draw(from.local(), random), best);
    offer_matches(from, from.prefix_holders(), best);
    offer_matches(from, from.adapter_holders(), best);
    if (best.index() != no_index)
        return best.index();
    return detail::draw_allowed(from, random);
}

} // namespace buckthornvale::decision::routing
