#ifndef BUCKTHORNVALE_DECISION_CORE_RANK_HPP
#define BUCKTHORNVALE_DECISION_CORE_RANK_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace buckthornvale::decision
{

//! Rank of work, most urgent first.
enum class rank
{
    urgent,
    standard,
    background
};

constexpr std::size_t rank_count = 3;

constexpr std::array<rank, rank_count> all_ranks = {
    rank::urgent, rank::standard, rank::background};

constexpr std::size_t index_of(rank value)
{
    return static_cast<std::size_t>(value);
}

//! Name used in settings, requests and metrics.
std::string_view name_of(rank value);

std::optional<rank> parse_rank(std::string_view name);

} // namespace buckthornvale::decision

#endif
