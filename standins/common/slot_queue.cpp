#include "common/slot_queue.hpp"

namespace buckthornvale::standins
{

bool slot_queue::acquire(std::uint32_t priority,
                         std::function<bool()> const& gave_up)
{
    std::unique_lock lock(mutex_);
    auto const ticket = std::make_pair(priority, arrivals_++);
    waiting_.insert(ticket);
    bool abandoned = false;
    changed_.wait(lock,
                  [&]
                  {
                      abandoned = gave_up();
                      return abandoned ||
                             (running_ < slots_ && *waiting_.begin() == ticket);
                  });
    waiting_.erase(ticket);
    if (!abandoned)
        ++running_;
    lock.unlock();
    changed_.notify_all();
    return !abandoned;
}

void slot_queue::release()
{
    {
        std::lock_guard lock(mutex_);
        --running_;
    }
    changed_.notify_all();
}

void slot_queue::wake()
{
    {
        // Orders the wake-up after the check of a call that is about to wait.
        std::lock_guard lock(mutex_);
    }
    changed_.notify_all();
}

std::size_t slot_queue::running() const
{
    std::lock_guard lock(mutex_);
    return running_;
}

std::size_t slot_queue::queued() const
{
    std::lock_guard lock(mutex_);
    return waiting_.size();
}

} // namespace buckthornvale::standins
