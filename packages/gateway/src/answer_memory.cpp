#include <buckthornvale/gateway/answer_memory.hpp>

namespace buckthornvale::gateway
{

bool answer_memory::reservation::resize(std::size_t answer_bytes)
{
    auto const counted = answer_bytes > uncounted_bytes
                             ? answer_bytes - uncounted_bytes
                             : std::size_t{0};
    auto const others = memory_->reserved_ - bytes_;
    if (counted > bytes_ && others + counted > memory_->max_bytes_)
        return false;
    memory_->reserved_ = others + counted;
    bytes_ = counted;
    return true;
}

} // namespace buckthornvale::gateway
