#ifndef BUCKTHORNVALE_GATEWAY_GATEWAY_PROCESS_HPP
#define BUCKTHORNVALE_GATEWAY_GATEWAY_PROCESS_HPP

#include <buckthornvale/decision/gateway/reducer.hpp>
#include <buckthornvale/gateway/answer_memory.hpp>
#include <buckthornvale/gateway/gateway_request.hpp>
#include <buckthornvale/gateway/observe/gateway_metrics.hpp>
#include <buckthornvale/gateway/observe/log_writer.hpp>
#include <buckthornvale/gateway/peer/peer_sender.hpp>
#include <buckthornvale/gateway/runner_attempt.hpp>
#include <buckthornvale/gateway/store/crash_record_writer.hpp>
#include <buckthornvale/gateway/store/member_list.hpp>
#include <buckthornvale/gateway/store/store_era.hpp>
#include <buckthornvale/gateway/store/store_watcher.hpp>
#include <buckthornvale/net/http_client.hpp>
#include <buckthornvale/net/http_server.hpp>
#include <buckthornvale/net/timer.hpp>
#include <buckthornvale/platform/node_settings.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornvale::gateway
{

class control_handler;

using decision::time_point;
using decision::gateway::request_ref;

//! Connects callers, runners, the store and the other VMs to the reducer: turns
//! I/O completions into events of the reducer and executes the effects that it
//! returns.
class gateway_process final : public net::request_handler,
                              public runner_attempt::listener
{
public:
    gateway_process(asio::io_context& loop, platform::node_settings settings,
                    std::uint64_t incarnation, int log_descriptor);
    ~gateway_process() override;

    //! Opens the listening sockets and starts the watches of the store. Throws
    //! asio::system_error if a socket cannot be bound.
    void start();

    //! Starts a graceful shutdown: finishes requests in progress, then stops
    //! the event loop.
    void drain();

    //! Applies a changed settings file. Only the grace period takes effect
    //! without a restart.
    void reload(platform::node_settings const& settings);

    //! Notes that a changed settings file cannot be used. The settings stay.
    void refuse_reload(std::string const& reason);

private:
    void log_warnings(platform::node_settings const& settings);

    //! A request of a caller that has no final response yet.
    struct caller_request
    {
        explicit caller_request(std::shared_ptr<net::memory_budget> budget)
            : memory(std::move(budget))
        {
        }

        std::uint64_t connection_id = 0;
        bool caller_present = true;
        http::request_head head;
        std::shared_ptr<std::string const> body;
        net::memory_budget::charge memory; //!< of head and body
        std::string request_id;
        time_point arrived_at{};
        std::unique_ptr<runner_attempt> attempt;
        //! To runners, of all its attempts. None of them carries it again.
        std::vector<net::connection_number> used_connections;
        bool response_started = false;
        bool reading_paused = false;
    };

    // net::request_handler
    void on_request(net::server_connection& from, http::request_head& head,
                    std::string& body) override;
    void on_caller_left(net::server_connection& from) override;
    void on_drained(net::server_connection& from) override;
    void on_discarded(net::server_connection& from, std::size_t bytes,
                      net::duration since_close) override;
    void on_ended_for_others(net::server_connection& from,
                             std::size_t bytes) override;

    // runner_attempt::listener
    void on_sse_events(runner_attempt& from, std::string_view events) override;
    void on_runner_head(std::string const& runner_id,
                        platform::runner_response const& response) override;
    void
    on_answer_discarded(runner_attempt const& from, int status,
                        platform::runner_response const& response) override;
    void on_answer_too_large(runner_attempt const& from,
                             std::size_t bytes) override;
    void
    on_attempt_ended(runner_attempt& from,
                     decision::gateway::attempt_ended const& outcome) override;

    void reduce(decision::gateway::event input);
    void execute(decision::gateway::send_attempt const& it);
    void execute(decision::gateway::cancel_attempt const& it);
    void execute(decision::gateway::deliver_answer const& it);
    void execute(decision::gateway::refuse_request const& it);
    void execute(decision::gateway::abort_stream const& it);
    void execute(decision::gateway::call_stage const& it);
    void execute(decision::gateway::free_results const& it);
    void execute(decision::gateway::close_idle_connections const& it);
    void execute(decision::gateway::send_to_peer const& it);
    void execute(decision::gateway::remove_member const& it);
    void execute(decision::gateway::list_runners const& it);
    void execute(decision::gateway::store_crash_records const& it);
    void execute(decision::gateway::log_decision const& it);

    //! Counts a connection that was ended for others, and logs such ends, at
    //! most one in a second.
    void record_ended_connection(char const* server, std::size_t bytes);

    caller_request* find_request(request_ref ref);
    net::server_connection* find_connection(caller_request const& it);
    void erase_request(request_ref ref, char const* outcome);
    void start_stream(caller_request& it, net::server_connection& to,
                      runner_attempt const& from);
    std::string encode_response_head(http::response_head const& head) const;
    void destroy_later(std::unique_ptr<runner_attempt> attempt);

    void start_store_watchers();
    void log_update(char const* watch, store::object_update const& update);
    void note_overdue_answer(char const* watch,
                             decision::duration since_answer);
    store::era_order observe_store_era(std::optional<std::uint64_t> era);
    void apply_runners(store::object_update const& update);
    //! Decodes the head of an answer to a call of this VM, and the notice in
    //! it.
    platform::runner_response read_head(std::string const& runner_id,
                                        http::response_head const& head);
    void finish_stage_call(decision::gateway::call_ref call, std::size_t pieces,
                           platform::runner_response const& answer,
                           net::call_result const& result);
    //! Lists the runners once more when the copy's entries of runners that are
    //! gone have lapsed, so that one that is left is known to live.
    void list_runners_later();
    void apply_members(store::object_update const& update);
    void apply_evacuations(store::object_update const& update);
    void apply_crash_records(store::object_update const& update);
    store::crash_record_writer::callback_set crash_record_callbacks();
    void drop_lapsed_members(time_point at);
    void apply_manifest(store::object_update const& update);
    void take_manifest(platform::stored_object const& object);
    void log_defective_routes(decision::gateway::manifest const& of);
    void fetch_manifest_from_peer(time_point now);
    void call_store(platform::store_request call, net::call_done done);
    void register_member();
    void write_member(bool replace);
    void log(char const* what,
             std::vector<decision::gateway::log_decision::field> fields);

    void tick();
    void schedule_tick();
    void record_tick_delay(time_point at);
    //! Sets the times of the drain in progress by the grace period in force.
    void plan_drain(time_point at);
    void stop_when_drained(time_point now);
    time_point now() const;

    asio::io_context& loop_;
    platform::node_settings settings_;
    std::uint64_t const incarnation_;
    decision::gateway::member self_;
    decision::gateway::reducer reducer_;
    observe::log_writer log_writer_;
    observe::gateway_metrics metrics_;
    std::shared_ptr<answer_memory> answer_memory_;
    std::shared_ptr<net::memory_budget> caller_memory_;
    net::http_client http_client_;
    peer::peer_sender peer_sender_;
    net::http_server caller_server_;
    std::unique_ptr<control_handler> control_handler_;
    store::store_era store_era_;
    std::vector<std::unique_ptr<store::store_watcher>> store_watchers_;
    std::unordered_map<request_ref, caller_request> requests_;
    std::unordered_map<std::uint64_t, request_ref> ref_by_connection_;
    store::crash_record_writer crash_record_writer_;
    store::member_list members_;
    std::string encoded_manifest_; //!< object in force, served to other VMs
    store::store_watcher const* manifest_watcher_ = nullptr;
    store::store_watcher* runner_watcher_ = nullptr;
    bool fetching_manifest_ = false;
    std::size_t next_peer_index_ = 0;
    time_point last_manifest_fetch_at_{};
    //! For a newer manifest. The store may lack it for some time after it has
    //! come back from a copy.
    time_point ask_peers_until_{};
    std::vector<decision::gateway::event> pending_events_;
    bool reducing_ = false;
    request_ref next_ref_;
    net::timer tick_timer_;
    net::timer registration_timer_;
    net::timer runner_list_timer_;
    time_point tick_due_at_{};
    time_point ticked_at_{}; //!< when the last tick began
    time_point delay_logged_at_{};
    time_point ended_connection_logged_at_{};
    std::size_t ended_connections_ = 0; //!< since the last such line
    time_point limits_checked_at_{};
    bool draining_ = false;
    bool listening_ = true;
    bool registering_ = false;
    time_point drain_started_at_{};
    time_point exit_at_{}; //!< latest end of the drain
};

} // namespace buckthornvale::gateway

#endif
