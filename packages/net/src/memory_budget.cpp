#include <buckthornvale/net/memory_budget.hpp>

namespace buckthornvale::net
{

void memory_budget::charge::resize(std::size_t bytes)
{
    budget_->held_ = budget_->held_ - bytes_ + bytes;
    bytes_ = bytes;
}

} // namespace buckthornvale::net
