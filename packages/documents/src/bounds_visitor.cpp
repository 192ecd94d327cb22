#include "bounds_visitor.hpp"

namespace buckthornvale::documents::detail
{

bool bounds_visitor::count_value()
{
    exceeded_ = ++value_count_ > bounds_.max_values;
    return !exceeded_;
}

bool bounds_visitor::enter_container()
{
    if (++depth_ <= bounds_.max_depth)
        return count_value();
    exceeded_ = true;
    return false;
}

bool bounds_visitor::leave_container()
{
    --depth_;
    return true;
}

} // namespace buckthornvale::documents::detail
