#include <buckthornvale/objects/watch/prefix_watch.hpp>

#include <random>

namespace buckthornvale::objects
{

namespace
{

// Between two attempts to end a call that was being started when stop()
// cancelled it for the first time.
constexpr auto cancel_period = std::chrono::milliseconds(5);

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
            condition_.wait_for(lock, cancel_period,
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
        if (!is_listed && !pause(decision::from_seconds(jitter(random_))))
            break;
        if (!wait_for_budget())
            break;
        is_listed = is_listed ? follow() : list();
    }
    std::lock_guard const lock(mutex_);
    is_running_ = false;
    condition_.notify_all();
}

// Lists page by page, each against the budget; false when it must be done
// again.
bool prefix_watch::list()
{
    object_page whole;
    std::string after;
    for (bool is_first = true;; is_first = false)
    {
        if (!is_first && !wait_for_budget())
            return false;
        auto page = api_.list(settings_.prefix, after, settings_.page_limit);
        finish(page.status);
        if (!page.is_done())
            return false;
        if (is_first)
            whole.revision = page.value.revision;
        for (auto& it : page.value.items)
            whole.items.push_back(std::move(it));
        if (!page.value.next)
            break;
        after = *page.value.next;
    }
    revision_ = whole.revision;
    listener_.listed(std::move(whole));
    return true;
}

// Waits for changes once; false when the prefix must be listed again.
bool prefix_watch::follow()
{
    auto changes = api_.watch(settings_.prefix, revision_, settings_.poll);
    if (changes.status == call_status::compacted)
    {
        finish(call_status::done);
        return false;
    }
    finish(changes.status);
    if (!changes.is_done())
        return true;
    revision_ = changes.value.revision;
    if (!changes.value.events.empty())
        listener_.changed(std::move(changes.value));
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
        if (!pause(permit.retry_after))
            return false;
    }
}

// False when the watch is stopping.
bool prefix_watch::pause(decision::duration length)
{
    std::unique_lock lock(mutex_);
    return !condition_.wait_for(lock, length, [this] { return is_stopping_; });
}

void prefix_watch::finish(call_status status)
{
    {
        // A call that stop() ended says nothing about the store.
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
    listener_.reachable(is_done);
}

} // namespace buckthornvale::objects
