#ifndef BUCKTHORNVALE_TESTS_SCHEDULES_EVENT_QUEUE_HPP
#define BUCKTHORNVALE_TESTS_SCHEDULES_EVENT_QUEUE_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace buckthornvale::decision::schedules
{

using std::chrono::milliseconds;

//! Event loop in virtual time for deterministic simulations. Events at the same
//! time run in the order of insertion.
class event_queue
{
public:
    explicit event_queue(std::uint64_t seed) : random(seed) {}

    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(std::make_pair(now + delay, ++count_),
                        std::move(event));
    }
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first.first <= end)
        {
            now = events_.begin()->first.first;
            auto const event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        now = end;
    }
    bool chance(double probability)
    {
        return random() < probability * 4294967296.;
    }
    std::uint32_t random_below(std::uint32_t n) { return random(n); }
    duration random_delay(int least, int most)
    {
        auto const span = static_cast<std::uint32_t>(most - least + 1);
        return milliseconds(least + static_cast<int>(random(span)));
    }

    time_point now{};
    pcg32 random;

private:
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events_;
    std::uint64_t count_ = 0;
};

//! Runs a randomised schedule with consecutive fixed seeds until one fails, and
//! prints the seed of the failure. The environment variable BUCKTHORNVALE_SEED
//! selects a single seed. With AddressSanitizer a schedule takes about 25 times
//! as long, so only a tenth of the seeds run.
template <class Schedule>
void run_seeds(std::uint64_t count, Schedule schedule)
{
#ifdef __SANITIZE_ADDRESS__
    count = (count + 9) / 10;
#endif
    std::uint64_t first = 1;
    if (auto const* seed = std::getenv("BUCKTHORNVALE_SEED"))
    {
        first = std::strtoull(seed, nullptr, 10);
        count = 1;
    }
    for (auto seed = first; seed < first + count; ++seed)
    {
        schedule(seed);
        if (::testing::Test::HasFailure())
        {
            ADD_FAILURE() << "replay with BUCKTHORNVALE_SEED=" << seed;
            return;
        }
    }
}

} // namespace buckthornvale::decision::schedules

#endif
