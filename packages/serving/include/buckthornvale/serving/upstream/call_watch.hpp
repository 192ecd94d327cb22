#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_CALL_WATCH_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_CALL_WATCH_HPP

#include <buckthornvale/serving/upstream/runner_call.hpp>

#include <absl/container/flat_hash_map.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace buckthornvale::serving::upstream
{

//! Stops calls whose budget passed or that were cancelled, on a thread of its
//! own: stopping a client waits while that client connects.
class call_watch
{
public:
    call_watch();
    ~call_watch();
    call_watch(call_watch const&) = delete;
    call_watch& operator=(call_watch const&) = delete;

    void add(std::shared_ptr<runner_call> call);
    //! To be called when the call ended.
    void remove(decision::attempt_id attempt);

    //! Stops one call; gives it, or null when it is not there.
    std::shared_ptr<runner_call> cancel(decision::attempt_id attempt);
    //! Stops all calls.
    void cancel_all();

private:
    struct entry
    {
        std::shared_ptr<runner_call> call;
        stop_reason reason = stop_reason::none;
    };

    void work();
    std::chrono::steady_clock::time_point
    next_check(std::chrono::steady_clock::time_point now) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    absl::flat_hash_map<decision::attempt_id, entry> calls_;
    bool stopped_ = false;
    std::thread thread_;
};

} // namespace buckthornvale::serving::upstream

#endif
