#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_LOAD_POLLER_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_LOAD_POLLER_HPP

#include <buckthornvale/decision/requests/attempt_messages.hpp>
#include <buckthornvale/serving/upstream/worker_pool.hpp>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace buckthornvale::serving::upstream
{

//! A runner whose load is read. Cache events are read from engines only.
struct polled_runner
{
    decision::runner_id runner;
    std::string host;
    std::uint16_t port = 0;
    decision::runner_kind kind = decision::runner_kind::engine;
};

//! Takes what the poller reads. Called on the poller's threads; must not
//! block.
class load_listener
{
public:
    virtual ~load_listener() = default;
    virtual void reported(decision::requests::runner_reported message) = 0;
    virtual void
    cache_changed(decision::requests::runner_cache_changed message) = 0;
};

struct poll_settings
{
    std::chrono::milliseconds period{500}; //!< between reads of one runner
    std::chrono::milliseconds timeout{1000};
    std::size_t max_concurrent = 8;
};

//! Reads GET /v1/load and GET /v1/cache_events of each runner. A runner whose
//! read has not ended is left out of a round, so a frozen runner holds at most
//! one thread.
class load_poller
{
public:
    load_poller(poll_settings const& settings, load_listener& listener);
    ~load_poller();
    load_poller(load_poller const&) = delete;
    load_poller& operator=(load_poller const&) = delete;

    //! Replaces the runners; known ones keep their place in the cache events.
    void set_runners(std::vector<polled_runner> const& runners);

private:
    struct state
    {
        polled_runner runner;
        bool in_flight = false;
        std::uint64_t last_sequence = 0; //!< of the load reports
        std::uint64_t next_event = 0;
    };
    using state_ptr = std::shared_ptr<state>;

    void work();
    void start_round();
    void poll(state& target);
    void poll_load(state& target);
    void poll_cache(state& target);

    poll_settings settings_;
    load_listener& listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    absl::flat_hash_map<decision::runner_id, state_ptr> runners_;
    bool stopped_ = false;
    worker_pool workers_;
    std::thread scheduler_;
};

} // namespace buckthornvale::serving::upstream

#endif
