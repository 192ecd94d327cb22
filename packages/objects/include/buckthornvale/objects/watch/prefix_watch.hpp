#ifndef BUCKTHORNVALE_OBJECTS_WATCH_PREFIX_WATCH_HPP
#define BUCKTHORNVALE_OBJECTS_WATCH_PREFIX_WATCH_HPP

#include <buckthornvale/objects/budget/shared_store_budget.hpp>
#include <buckthornvale/objects/objects/object_api.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace buckthornvale::objects
{

//! Receives the events of a prefix_watch, on the watch's thread.
class watch_listener
{
public:
    watch_listener() = default;
    watch_listener(watch_listener const&) = delete;
    watch_listener& operator=(watch_listener const&) = delete;
    virtual ~watch_listener() = default;

    //! Complete list of the objects at a revision. Objects that are missing
    //! from it were deleted, unless the listener already knows them at a
    //! version above the revision.
    virtual void on_listed(object_page page) = 0;

    //! Changes after the last reported revision.
    virtual void on_changed(object_changes changes) = 0;

    //! Called only when the store becomes unreachable or reachable again.
    virtual void on_reachability_changed(bool is_reachable) = 0;
};

struct prefix_watch_settings
{
    std::string prefix = "settings/";
    decision::duration watch_timeout = std::chrono::seconds(30);
    std::size_t page_limit = 500;

    //! Upper bound of the random delay before each list, so that VMs whose
    //! watches fail at the same time do not all list at the same time.
    decision::duration list_jitter = std::chrono::milliseconds(500);
    std::uint64_t seed = 0;
};

//! Lists a prefix and then watches it for changes, on its own thread. Lists it
//! again when the revision was compacted. Calls are charged to the budget with
//! the purpose `settings`.
class prefix_watch
{
public:
    //! The referenced objects must outlive the watch.
    prefix_watch(object_api& api, shared_store_budget& budget,
                 watch_listener& listener, prefix_watch_settings settings);
    ~prefix_watch();
    prefix_watch(prefix_watch const&) = delete;
    prefix_watch& operator=(prefix_watch const&) = delete;

    void start();

    //! Cancels a pending call and joins the thread.
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
