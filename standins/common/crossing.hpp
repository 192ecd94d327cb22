#ifndef BUCKTHORNVALE_STANDINS_COMMON_CROSSING_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_CROSSING_HPP

#include "common/call.hpp"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace buckthornvale::standins
{

//! Swaps what two calls in flight answer. Thread-safe.
class crossing
{
public:
    //! Waits for a second call and gives that call, so that each of the two
    //! answers for the other; gives `own` when none came in time.
    call swap(call const& own, std::chrono::milliseconds longest);

private:
    struct meeting
    {
        call first;
        call second;
        bool met = false;
    };

    std::mutex mutex_;
    std::condition_variable met_;
    std::shared_ptr<meeting> open_;
};

} // namespace buckthornvale::standins

#endif
