#include <buckthornvale/decision/isolation/mark.hpp>

#include <tuple>

namespace buckthornvale::decision::isolation
{

namespace
{

auto order_of(mark const& value)
{
    bool const isolated = value.state == mark_state::isolated;
    return std::make_tuple(value.lifts, isolated, value.clears, value.state,
                           value.crashes);
}

} // namespace

bool supersedes(mark const& a, mark const& b)
{
    return order_of(a) > order_of(b);
}

} // namespace buckthornvale::decision::isolation
