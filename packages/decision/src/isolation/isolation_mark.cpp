#include <buckthornvale/decision/isolation/isolation_mark.hpp>

#include <algorithm>
#include <tuple>

namespace buckthornvale::decision::isolation
{

namespace
{

auto precedence_of(isolation_mark const& value)
{
    bool const isolated = value.state == mark_state::isolated;
    return std::make_tuple(value.lifts, isolated, value.clears, value.state);
}

} // namespace

void add_crash(isolation_mark& value, std::uint64_t crash_id)
{
    auto& ids = value.crash_ids;
    bool const known = std::find(ids.begin(), ids.end(), crash_id) != ids.end();
    if (!known && ids.size() < max_crash_ids)
        ids.push_back(crash_id);
}

isolation_mark merge(isolation_mark const& a, isolation_mark const& b)
{
    if (precedence_of(a) != precedence_of(b))
        return precedence_of(a) > precedence_of(b) ? a : b;
    isolation_mark merged = a;
    for (auto id : b.crash_ids)
        add_crash(merged, id);
    return merged;
}

bool equal_ignoring_remaining(isolation_mark const& a, isolation_mark const& b)
{
    return precedence_of(a) == precedence_of(b) &&
           a.crash_ids.size() == b.crash_ids.size();
}

} // namespace buckthornvale::decision::isolation
