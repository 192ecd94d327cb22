#ifndef BUCKTHORNVALE_OBJECTS_WATCH_PREFIX_WATCH_HPP
#define BUCKTHORNVALE_OBJECTS_WATCH_PREFIX_WATCH_HPP

#include <buckthornvale/objects/budget/shared_store_budget.hpp>
#include <buckthornvale/objects/objects/object_api.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace buckthornvale::objects
{

//! Receives what a watch sees, on the watch's thread.
class watch_listener
{
public:
    watch_listener() = default;
    watch_listener(watch_listener const&) = delete;
    watch_listener& operator=(watch_listener const&) = delete;
    virtual ~watch_listener() = default;

    //! All objects at a revision. Objects that are not in it are gone, unless
    //! the listener knows them at a version above the revision.
    virtual void on_listed(object_page page) = 0;

    //! Changes after the last revision.
    virtual void on_changed(object_changes changes) = 0;

    //! The store did not answer, or answers again; only on a change.
    virtual void on_reachability_changed(bool is_reachable) = 0;
};

//! How a prefix is watched.
struct prefix_watch_settings
{
    std::string prefix = "settings/";
    decision::duration watch_timeout = std::chrono::seconds(30);
    std::size_t page_limit = 500;
    //! A list waits a random part of this first, so that VMs that lost their
    //! place together do not list together.
    decision::duration list_jitter = std::chrono::milliseconds(500);
    std::uint64_t seed = 0;
};

//! Lists a prefix, then follows its changes, on a thread of its own. When
//! the revision is no longer kept it lists again. Calls go through the
//! budget with the purpose `settings`.
class prefix_watch
{
public:
    //! The references must outlive the watch.
    prefix_watch(object_api& api, shared_store_budget& budget,
                 watch_listener& listener, prefix_watch_settings settings);
    ~prefix_watch();
    prefix_watch(prefix_watch const&) = delete;
    prefix_watch& operator=(prefix_watch const&) = delete;

    void start();

    //! Ends a waiting call and joins the thread.
    void stop();

private:
    void run();
    bool list_prefix();
    bool watch_once();
    bool wait_for_budget();
    bool wait_unless_stopping(decision::duration delay);
    void record_result(call_status status);

    object_api& api_;
    shared_store_budget& budget_;
    watch_listener& listener_;
    prefix_watch_settings settings_;
    pcg64 random_;
    std::uint64_t revision_ = 0;
    bool is_reachable_ = true;

    std::mutex mutex_;
    std::condition_variable condition_;
    bool is_stopping_ = false;
    bool is_running_ = false;
    std::thread thread_;
};

} // namespace buckthornvale::objects

#endif
