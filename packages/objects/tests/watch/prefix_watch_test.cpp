#include <buckthornvale/objects/objects/http_object_api.hpp>
#include <buckthornvale/objects/watch/prefix_watch.hpp>

#include <gtest/gtest.h>

#include <map>
#include <platform/platform_server.hpp>

namespace buckthornvale::objects
{
namespace
{

using namespace std::chrono_literals;

// Maintains the set of objects that the watch has reported.
class recording_listener final : public watch_listener
{
public:
    void on_listed(object_page page) override
    {
        std::lock_guard const lock(mutex_);
        objects_.clear();
        for (auto const& it : page.items)
            objects_[it.path] = it.value;
        ++list_count_;
        changed_.notify_all();
    }

    void on_changed(object_changes changes) override
    {
        std::lock_guard const lock(mutex_);
        for (auto const& it : changes.events)
        {
            if (it.is_delete)
                objects_.erase(it.changed.path);
            else
                objects_[it.changed.path] = it.changed.value;
        }
        changed_.notify_all();
    }

    void on_reachability_changed(bool is_reachable) override
    {
        std::lock_guard const lock(mutex_);
        is_reachable_ = is_reachable;
        changed_.notify_all();
    }

    template <class Condition>
    void wait_until(Condition condition)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return condition(*this); });
    }

    std::map<std::string, std::string> objects_;
    int list_count_ = 0;
    bool is_reachable_ = true;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
};

struct prefix_watch_test : testing::Test
{
    prefix_watch_test()
    {
        server.store().put("settings/a", 0, "1");
        server.store().put("settings/b", 0, "2");
        settings.page_limit = 1;
        settings.list_jitter = 1ms;
    }

    standins::platform::platform_server server;
    http_object_api api{"127.0.0.1:" + std::to_string(server.start(0))};
    store_budget_settings budget_settings{1600., 240., 2s, 1ms, 2ms, 5s};
    shared_store_budget budget{budget_settings, 1};
    prefix_watch_settings settings;
    recording_listener listener;
};

// Guards against a VM that misses a change or a deletion, including during a
// compaction or an outage.
TEST_F(prefix_watch_test, follows_changes_compaction_and_outage)
{
    // Bounds the wait of a watch that reached the store just before the outage.
    settings.watch_timeout = 50ms;
    prefix_watch watch(api, budget, listener, settings);
    watch.start();
    listener.wait_until([](auto& it) { return it.objects_.size() == 2; });
    server.store().put("settings/c", 0, "3");
    listener.wait_until([](auto& it) { return it.objects_.size() == 3; });

    server.store().compact();
    listener.wait_until([](auto& it) { return it.list_count_ == 2; });

    server.gate().set_outage(true);
    server.store().interrupt();
    listener.wait_until([](auto& it) { return !it.is_reachable_; });
    server.store().remove("settings/c", 3);
    server.gate().set_outage(false);
    listener.wait_until(
        [](auto& it) { return it.is_reachable_ && it.objects_.size() == 2; });
    watch.stop();
}

// Guards against a shutdown that blocks on a long poll, a backoff or a
// connection. The test only ends if every stop() returns.
TEST_F(prefix_watch_test, stops_in_every_state)
{
    settings.watch_timeout = 1h;
    for (int i = 0; i < 20; ++i)
    {
        prefix_watch watch(api, budget, listener, settings);
        watch.start();
        if (i % 2 == 0)
            listener.wait_until([&](auto& it)
                                { return it.list_count_ > i / 2; });
        watch.stop();
    }
    server.gate().set_outage(true);
    settings.list_jitter = 1h;
    prefix_watch watch(api, budget, listener, settings);
    watch.start();
    watch.stop();
    watch.stop();
}

} // namespace
} // namespace buckthornvale::objects
