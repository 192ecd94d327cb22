#include <buckthornvale/decision/fleet/member.hpp>

#include <array>
#include <cstddef>

namespace buckthornvale::decision::fleet
{

std::string_view name_of(member_state state)
{
    constexpr std::array<std::string_view, 5> names = {
        "live", "suspect", "paused", "dead", "leaving"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace buckthornvale::decision::fleet
