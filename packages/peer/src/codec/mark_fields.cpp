#include "mark_fields.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace buckthornvale::peer::detail
{

using nlohmann::json;
namespace isolation = decision::isolation;

json fields_of(isolation::isolation_mark const& value)
{
    using std::chrono::milliseconds;
    auto const left = std::chrono::duration_cast<milliseconds>(value.remaining);
    json crashes = json::array();
    for (auto it : value.crash_ids)
        crashes.push_back(it);
    return {{"t", "mark"},
            {"h", value.content.high},
            {"l", value.content.low},
            {"s", static_cast<unsigned>(value.state)},
            {"li", value.lifts},
            {"cl", value.clears},
            {"x", std::move(crashes)},
            {"ms", static_cast<std::uint64_t>(
                       std::max<std::int64_t>(left.count(), 0))}};
}

void read(field_reader& in, isolation::isolation_mark& value)
{
    constexpr std::uint64_t max_remaining_ms = 24ULL * 3600 * 1000;
    std::uint64_t state = 0;
    std::uint64_t ms = 0;
    in.number("h", value.content.high);
    in.number("l", value.content.low);
    in.number("s", state);
    in.number("li", value.lifts);
    in.number("cl", value.clears);
    in.number("ms", ms);
    if (state > static_cast<unsigned>(isolation::mark_state::isolated))
        in.fail("s");
    value.state = static_cast<isolation::mark_state>(state);
    value.remaining = std::chrono::milliseconds(std::min(ms, max_remaining_ms));
    auto const* list = in.optional_array("x", isolation::max_crash_ids);
    if (list == nullptr)
        return;
    for (auto const& it : *list)
    {
        if (it.is_number_unsigned())
            value.crash_ids.push_back(it.get<std::uint64_t>());
        else
            in.fail("x");
    }
}

} // namespace buckthornvale::peer::detail
