#include <buckthornvale/decision/isolation/mark.hpp>

#include <algorithm>
#include <tuple>

namespace buckthornvale::decision::isolation
{

namespace
{

auto precedence_of(mark const& value)
{
    bool const isolated = value.state == mark_state::isolated;
    return std::make_tuple(value.lifts, isolated, value.clears, value.state);
}

} // namespace

void add_crash(mark& value, std::uint64_t crash_id)
{
    auto& ids = value.crash_ids;
    bool const known = std::find(ids.begin(), ids.end(), crash_id) != ids.end();
    if (!known && ids.size() < most_crash_ids)
        ids.push_back(crash_id);
}

mark merge(mark const& a, mark const& b)
{
    if (precedence_of(a) != precedence_of(b))
        return precedence_of(a) > precedence_of(b) ? a : b;
    mark merged = a;
    for (auto id : b.crash_ids)
        add_crash(merged, id);
    return merged;
}

bool equal_ignoring_remaining(mark const& a, mark const& b)
{
    return precedence_of(a) == precedence_of(b) &&
           a.crash_ids.size() == b.crash_ids.size();
}

} // namespace buckthornvale::decision::isolation
