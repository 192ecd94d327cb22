#include <buckthornvale/objects/watch/prefix_watch.hpp>

#include <random>

namespace buckthornvale::objects
{

namespace
{

// Interval at which stop() repeats the cancellation, which a call that is just
// starting can miss.
constexpr auto cancel_retry_period = std::chrono::milliseconds(5);

} // namespace

prefix_watch::prefix_watch(object_api& api, shared_store_budget& budget,
                           watch_listener& listener,
                           prefix_watch_settings settings)
    : api_(api), budget_(budget), listener_(listener),
      settings_(std::move(settings)), random_(settings_.seed)
{
}

prefix_watch::~prefix_watch()
{
    stop();
}

void prefix_watch::start()
{
    std::lock_guard const lock(mutex_);
    if (is_running_)
        return;
    is_running_ = true;
    is_stopping_ = false;
    thread_ = std::thread([this] { run(); });
}

void prefix_watch::stop()
{
    {
        std::unique_lock lock(mutex_);
        is_stopping_ = true;
        condition_.notify_all();
        while (is_running_)
        {
            lock.unlock();
            api_.cancel_watches();
            lock.lock();
            condition_.wait_for(lock, cancel_retry_period,
                                [this] { return !is_running_; });
        }
    }
    if (thread_.joinable())
        thread_.join();
}

void prefix_watch::run()
{
    bool is_listed = false;
    std::uniform_real_distribution<double> jitter(
        0., decision::to_seconds(settings_.list_jitter));
    for (;;)
    {
        if (!is_listed &&
            !wait_unless_stopping(decision::from_seconds(jitter(random_))))
            break;
        if (!wait_for_budget())
            break;
        is_listed = is_listed ? watch_once() : list_prefix();
    }
    std::lock_guard const lock(mutex_);
    is_running_ = false;
    condition_.notify_all();
}

// Reads all pages and acquires a permit for each; returns false when the list
// must be repeated.
bool prefix_watch::list_prefix()
{
    object_page combined;
    std::string after;
    for (bool is_first = true;; is_first = false)
    {
        if (!is_first && !wait_for_budget())
            return false;
        auto page = api_.list(settings_.prefix, after, settings_.page_limit);
        record_result(page.status);
        if (!page.is_done())
            return false;
        if (is_first)
            combined.revision = page.value.revision;
        for (auto& it : page.value.items)
            combined.items.push_back(std::move(it));
        if (!page.value.next)
            break;
        after = *page.value.next;
    }
    revision_ = combined.revision;
    listener_.on_listed(std::move(combined));
    return true;
}

// Performs one watch call; returns false when the prefix must be listed again.
bool prefix_watch::watch_once()
{
    auto changes =
        api_.watch(settings_.prefix, revision_, settings_.watch_timeout);
    if (changes.status == call_status::compacted)
    {
        record_result(call_status::done);
        return false;
    }
    record_result(changes.status);
    if (!changes.is_done())
        return true;
    revision_ = changes.value.revision;
    if (!changes.value.events.empty())
        listener_.on_changed(std::move(changes.value));
    return true;
}

bool prefix_watch::wait_for_budget()
{
    for (;;)
    {
        auto const permit =
            budget_.acquire(call_purpose::settings, call_direction::read);
        if (permit.is_granted)
        {
            std::lock_guard const lock(mutex_);
            return !is_stopping_;
        }
        if (!wait_unless_stopping(permit.retry_after))
            return false;
    }
}

// Waits for `delay`; returns false when the watch is stopping.
bool prefix_watch::wait_unless_stopping(decision::duration delay)
{
    std::unique_lock lock(mutex_);
    return !condition_.wait_for(lock, delay, [this] { return is_stopping_; });
}

void prefix_watch::record_result(call_status status)
{
    {
        // Ignores calls cancelled by stop(): their failure does not mean that
        // the store is unreachable.
        std::lock_guard const lock(mutex_);
        if (is_stopping_)
            return;
    }
    bool const is_done = status == call_status::done;
    if (is_done)
        budget_.succeeded(call_purpose::settings);
    else
        budget_.failed(call_purpose::settings);
    if (is_done == is_reachable_)
        return;
    is_reachable_ = is_done;
    listener_.on_reachability_changed(is_done);
}

} // namespace buckthornvale::objects
