#include "depth_check.hpp"

namespace buckthornvale::documents::detail
{

bool depth_check::value()
{
    exceeded_ = ++values_ > bounds_.max_values;
    return !exceeded_;
}

bool depth_check::enter()
{
    if (++depth_ <= bounds_.max_depth)
        return value();
    exceeded_ = true;
    return false;
}

bool depth_check::leave()
{
    --depth_;
    return true;
}

} // namespace buckthornvale::documents::detail
