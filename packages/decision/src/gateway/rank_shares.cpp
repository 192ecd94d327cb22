#include <buckthornvale/decision/gateway/rank_shares.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Limit of the sum of the shares of all ranks behind the most urgent one.
constexpr double total_share = 0.1;

//! Bound of the places that a rank saves up, for example while its pieces fit
//! on no free runner.
constexpr double max_earned_places = 10;

std::size_t count_of(rank_counts const& counts, int rank)
{
    auto const found = counts.find(rank);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

double share_behind(std::size_t more_urgent_ranks)
{
    // 1/2 + 1/6 + 1/12 + ... approaches 1.
    auto const n = double(more_urgent_ranks);
    return more_urgent_ranks == 0 ? 1 : total_share / (n * (n + 1));
}

rank_counts rank_shares::places() const
{
    rank_counts out;
    for (auto const& it : earned_)
        if (it.second >= 1)
            out[it.first] = std::size_t(it.second);
    return out;
}

void rank_shares::record_call(rank_counts const& taken,
                              rank_counts const& waiting)
{
    std::map<int, double> earned;
    std::size_t more_urgent_ranks = 0;
    std::size_t more_urgent_pieces = 0;
    rank_counts ranks = waiting;
    ranks.insert(taken.begin(), taken.end());
    for (auto const& it : ranks)
    {
        auto const rank = it.first;
        auto const own = count_of(taken, rank);
        if (more_urgent_ranks > 0 && count_of(waiting, rank) > 0)
        {
            auto const former = earned_.find(rank);
            double const places =
                (former == earned_.end() ? 0 : former->second) +
                share_behind(more_urgent_ranks) * double(more_urgent_pieces) -
                double(own);
            earned[rank] = std::clamp(places, 0.0, max_earned_places);
        }
        ++more_urgent_ranks;
        more_urgent_pieces += own;
    }
    earned_ = std::move(earned);
}

} // namespace buckthornvale::decision::gateway
