#ifndef BUCKTHORNVALE_SERVING_UPSTREAM_LOAD_POLLER_HPP
#define BUCKTHORNVALE_SERVING_UPSTREAM_LOAD_POLLER_HPP

#include <buckthornvale/decision/requests/attempt_messages.hpp>
#include <buckthornvale/net/loop_thread.hpp>
#include <buckthornvale/net/short_call.hpp>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
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

//! Takes what the poller reads. Called on the poller's thread; must not block.
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
};

//! Reads GET /v1/load and GET /v1/cache_events of each runner on one event
//! loop. A runner whose read has not ended is left out of a round.
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

    void assign(std::vector<polled_runner> const& runners);
    void check_times(decision::time_point now);
    void poll(state_ptr const& target);
    void take_load(state& target, net::call_result const& answer);
    void poll_cache(state_ptr const& target);
    void take_cache(state& target, net::call_result const& answer);
    void fetch(state const& target, std::string const& path,
               net::call_done done);

    poll_settings settings_;
    load_listener& listener_;
    net::loop_thread loop_;

    // On the loop only.
    net::http_client client_;
    absl::flat_hash_map<decision::runner_id, state_ptr> runners_;
    decision::time_point next_round_{};
};

} // namespace buckthornvale::serving::upstream

#endif
