#ifndef BUCKTHORNVALE_DAEMON_ENTRY_NODE_HPP
#define BUCKTHORNVALE_DAEMON_ENTRY_NODE_HPP

#include <buckthornvale/daemon/event_queue.hpp>
#include <buckthornvale/daemon/peer_gateway.hpp>
#include <buckthornvale/daemon/settings_installer.hpp>
#include <buckthornvale/daemon/store_gateway.hpp>
#include <buckthornvale/decision/reducer/reducer.hpp>
#include <buckthornvale/objects/objects/http_object_api.hpp>
#include <buckthornvale/serving/http/http_front.hpp>
#include <buckthornvale/serving/metrics/metrics_registry.hpp>
#include <buckthornvale/serving/upstream/load_poller.hpp>
#include <buckthornvale/serving/upstream/upstream_pool.hpp>
#include <buckthornvale/settings/process/process_settings.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <type_traits>
#include <utility>

namespace buckthornvale::daemon
{

//! One entry VM: the reducer on the thread of `run`, and the shells around
//! it. All other threads only post events.
class entry_node final : public event_queue,
                         private serving::http::request_sink,
                         private serving::upstream::runner_listener,
                         private serving::upstream::load_listener
{
public:
    //! `incarnation` is drawn at random by the caller for each process.
    entry_node(settings::process_settings settings, std::uint64_t incarnation);
    ~entry_node() override;

    //! Opens the listening sockets. The status says which address failed.
    absl::Status start();

    //! Serves until a drain has ended. Call once, after start().
    void run();

    //! Starts a graceful shutdown: not ready at once, listening for the notice
    //! time, then until the last request in flight ended. Thread-safe.
    void drain();

    std::uint16_t http_port() const { return front_.port(); }
    std::uint16_t peer_port() const { return peers_.port(); }

    void post(decision::event value) override;

private:
    template <class Effect>
    static constexpr bool is_count =
        std::is_same_v<Effect, decision::requests::request_counted> ||
        std::is_same_v<Effect, decision::requests::stage_counted> ||
        std::is_same_v<Effect, decision::requests::event_counted>;

    void submit(decision::requests::request_received message) override;
    void gone(decision::requests::caller_gone message) override;
    void ask(decision::requests::outcome_queried message) override;
    void token(decision::requests::attempt_token message) override;
    void ended(decision::requests::attempt_ended message) override;
    void
    outcome_told(decision::requests::service_outcome_received message) override;
    void ordered(serving::upstream::order_answered message) override;
    void reported(decision::requests::runner_reported message) override;
    void
    cache_changed(decision::requests::runner_cache_changed message) override;

    void step(decision::event const& value);
    void execute(decision::effects& effects);
    void execute(decision::requests::send_answer& answer);
    void execute(decision::requests::send_token& token);
    void execute(decision::requests::start_attempt& attempt);
    void execute(decision::requests::cancel_attempt& attempt);
    void execute(decision::requests::query_service_outcome& query);
    void execute(decision::requests::state_logged& line);
    void execute(decision::send_peer& message);
    void execute(decision::set_peer_targets& targets);

    //! Counts go to the metrics, all other effects are store calls.
    template <class Effect>
    void execute(Effect& effect)
    {
        if constexpr (is_count<Effect>)
            metrics_.count(effect);
        else
        {
            metrics_.count(decision::requests::event_counted{
                decision::requests::counter::store_call, 1.});
            store_.execute(std::move(effect));
        }
    }

    void execute(decision::apply_settings& change);
    void execute(decision::send_order& order);
    void install(decision::requests::settings_installed const& installed);
    void schedule_tick();
    void begin_drain();
    void finish_drain();
    void publish_status();
    void offer_status();

    settings::process_settings settings_;
    std::uint64_t incarnation_;
    asio::io_context loop_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::steady_timer tick_;
    asio::steady_timer notice_;
    decision::reducer reducer_;
    settings_installer installer_;
    serving::metrics::metrics_registry metrics_;
    objects::http_object_api api_;
    objects::shared_store_budget budget_;
    serving::http::http_front front_;
    serving::upstream::upstream_pool upstream_;
    serving::upstream::load_poller poller_;
    peer_gateway peers_;
    store_gateway store_;
    std::mutex orders_mutex_;
    //! Orders without an answer yet, by runner and model.
    std::map<std::pair<decision::runner_id, std::uint64_t>,
             decision::send_order>
        open_orders_;
    std::thread finisher_; //!< waits for the last caller of a drain
    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
    std::shared_ptr<std::string const> status_; //!< JSON, swapped atomically
    decision::time_point next_status_{};
    bool callers_done_ = false;
};

} // namespace buckthornvale::daemon

#endif
