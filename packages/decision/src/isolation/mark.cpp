#include <buckthornvale/decision/isolation/mark.hpp>

#include <algorithm>
#include <tuple>

namespace buckthornvale::decision::isolation
{

namespace
{

auto order_of(mark const& value)
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
    if (order_of(a) != order_of(b))
        return order_of(a) > order_of(b) ? a : b;
    mark joined = a;
    for (auto id : b.crash_ids)
        add_crash(joined, id);
    return joined;
}

bool same_knowledge(mark const& a, mark const& b)
{
    return order_of(a) == order_of(b) &&
           a.crash_ids.size() == b.crash_ids.size();
}

} // namespace buckthornvale::decision::isolation
