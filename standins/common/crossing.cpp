#include "common/crossing.hpp"

#include <utility>

namespace buckthornvale::standins
{

call crossing::swap(call const& own, std::chrono::milliseconds longest)
{
    std::unique_lock lock(mutex_);
    if (open_)
    {
        auto const theirs = std::exchange(open_, nullptr);
        theirs->second = own;
        theirs->met = true;
        met_.notify_all();
        return theirs->first;
    }
    auto const mine = std::make_shared<meeting>();
    mine->first = own;
    open_ = mine;
    met_.wait_for(lock, longest, [&] { return mine->met; });
    if (mine->met)
        return mine->second;
    open_ = nullptr;
    return own;
}

} // namespace buckthornvale::standins
