#include <buckthornvale/serving/upstream/call_watch.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace buckthornvale::serving::upstream
{

using steady = std::chrono::steady_clock;

namespace
{

//! Time between two stops of one call; see runner_call::stop.
constexpr std::chrono::milliseconds stop_period{5};
constexpr std::chrono::seconds longest_wait{60};

} // namespace

call_watch::call_watch() : thread_([this] { work(); }) {}

call_watch::~call_watch()
{
    {
        std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void call_watch::add(std::shared_ptr<runner_call> call)
{
    auto const id = call->attempt().attempt;
    {
        std::lock_guard lock(mutex_);
        calls_[id] = entry{std::move(call), stop_reason::none};
    }
    changed_.notify_all();
}

void call_watch::remove(decision::attempt_id attempt)
{
    std::lock_guard lock(mutex_);
    calls_.erase(attempt);
}

std::shared_ptr<runner_call> call_watch::cancel(decision::attempt_id attempt)
{
    std::shared_ptr<runner_call> call;
    {
        std::lock_guard lock(mutex_);
        auto const it = calls_.find(attempt);
        if (it == calls_.end())
            return nullptr;
        it->second.reason = stop_reason::cancelled;
        call = it->second.call;
    }
    changed_.notify_all();
    return call;
}

void call_watch::cancel_all()
{
    {
        std::lock_guard lock(mutex_);
        for (auto& it : calls_)
            it.second.reason = stop_reason::cancelled;
    }
    changed_.notify_all();
}

steady::time_point call_watch::next_check(steady::time_point now) const
{
    auto next = now + longest_wait;
    for (auto const& it : calls_)
    {
        auto const stopping = it.second.reason != stop_reason::none;
        next = std::min(next, stopping ? now + stop_period
                                       : it.second.call->deadline());
    }
    return next;
}

void call_watch::work()
{
    std::vector<std::pair<std::shared_ptr<runner_call>, stop_reason>> due;
    std::unique_lock lock(mutex_);
    while (!stopped_)
    {
        auto const now = steady::now();
        for (auto& it : calls_)
        {
            auto& reason = it.second.reason;
            if (reason == stop_reason::none &&
                it.second.call->deadline() <= now)
                reason = stop_reason::timed_out;
            if (reason != stop_reason::none)
                due.emplace_back(it.second.call, reason);
        }
        lock.unlock();
        for (auto const& it : due)
            it.first->stop(it.second);
        due.clear();
        lock.lock();
        // Computed under the lock that the wait gives up: calls were added or
        // cancelled meanwhile, and their notification was missed.
        if (!stopped_)
            changed_.wait_until(lock, next_check(steady::now()));
    }
}

} // namespace buckthornvale::serving::upstream
