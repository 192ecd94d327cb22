#ifndef BUCKTHORNVALE_SERVING_TESTS_SUPPORT_WAIT_HPP
#define BUCKTHORNVALE_SERVING_TESTS_SUPPORT_WAIT_HPP

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace buckthornvale::serving::tests
{

//! Only ends a test that hangs; no expectation depends on it.
constexpr std::chrono::seconds hang_limit{60};

//! Polls until the condition holds; false when the test hangs.
template <class Condition>
bool eventually(Condition condition)
{
    auto const end = std::chrono::steady_clock::now() + hang_limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

//! Messages collected from other threads.
template <class Message>
class inbox
{
public:
    void add(Message message)
    {
        std::lock_guard lock(mutex_);
        messages_.push_back(std::move(message));
        changed_.notify_all();
    }

    //! The message of a position, counted from 0; waits for it.
    Message at(std::size_t position)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, hang_limit,
                          [&] { return messages_.size() > position; });
        return messages_.at(position);
    }

    std::vector<Message> all() const
    {
        std::lock_guard lock(mutex_);
        return messages_;
    }

    std::size_t size() const { return all().size(); }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Message> messages_;
};

} // namespace buckthornvale::serving::tests

#endif
