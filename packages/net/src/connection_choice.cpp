#include <buckthornvale/net/connection_choice.hpp>

#include <algorithm>

namespace buckthornvale::net
{

namespace
{

//! Added to the time without progress, so that size counts among connections
//! that have just moved on.
constexpr duration base_time = std::chrono::seconds(1);

double weight_of(connection_load const& it)
{
    return double(it.bytes) * decision::to_seconds(it.stalled_for + base_time);
}

} // namespace

std::optional<std::uint64_t>
choose_connection_to_end(absl::Span<connection_load const> loads)
{
    auto const heaviest =
        std::max_element(loads.begin(), loads.end(),
                         [](auto const& a, auto const& b)
                         { return weight_of(a) < weight_of(b); });
    if (heaviest == loads.end())
        return std::nullopt;
    return heaviest->id;
}

} // namespace buckthornvale::net
