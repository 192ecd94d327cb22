#include <buckthornvale/decision/core/rank.hpp>

namespace buckthornvale::decision
{

namespace
{

constexpr std::array<std::string_view, rank_count> rank_names = {
    "urgent", "standard", "background"};

} // namespace

std::string_view name_of(rank value)
{
    return rank_names[index_of(value)];
}

std::optional<rank> parse_rank(std::string_view name)
{
    for (auto it : all_ranks)
    {
        if (rank_names[index_of(it)] == name)
            return it;
    }
    return std::nullopt;
}

} // namespace buckthornvale::decision
