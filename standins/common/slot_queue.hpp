#ifndef BUCKTHORNVALE_STANDINS_COMMON_SLOT_QUEUE_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_SLOT_QUEUE_HPP

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <utility>

namespace buckthornvale::standins
{

//! Slots that calls hold while they run; free slots go to the waiting call
//! with the lowest priority number, then to the oldest. Thread-safe.
class slot_queue
{
public:
    explicit slot_queue(std::size_t slots) : slots_(slots) {}

    //! Waits for a slot; false when `gave_up` became true before. `gave_up` is
    //! asked again after each wake().
    bool acquire(std::uint32_t priority, std::function<bool()> const& gave_up);
    void release();
    void wake();

    std::size_t slots() const { return slots_; }
    std::size_t running() const;
    std::size_t queued() const;

private:
    std::size_t const slots_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::pair<std::uint32_t, std::uint64_t>> waiting_;
    std::uint64_t arrivals_ = 0;
    std::size_t running_ = 0;
};

} // namespace buckthornvale::standins

#endif
