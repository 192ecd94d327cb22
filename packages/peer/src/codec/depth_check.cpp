#include "depth_check.hpp"

namespace buckthornvale::peer::detail
{

namespace
{

// The deepest valid message has a list of entries with a list of numbers.
constexpr std::size_t max_depth = 6;

// A push of 8,192 objects has nine keys and values each.
constexpr std::size_t max_values = 100000;

} // namespace

bool depth_check::value()
{
    exceeded_ = ++values_ > max_values;
    return !exceeded_;
}

bool depth_check::enter()
{
    if (++depth_ <= max_depth)
        return value();
    exceeded_ = true;
    return false;
}

bool depth_check::leave()
{
    --depth_;
    return true;
}

} // namespace buckthornvale::peer::detail
