#include "client_shares.hpp"
#include "control_handler.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/gateway/gateway_process.hpp>
#include <buckthornvale/gateway/store/store_timing.hpp>
#include <buckthornvale/gateway/transfer_time.hpp>
#include <buckthornvale/http/text.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <ctime>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;
namespace model = decision::gateway;
using decision::duration;

constexpr duration busy_tick_interval = 20ms;
constexpr duration idle_tick_interval = 100ms;
constexpr duration limit_check_interval = 250ms;

//! A tick that is later than this is logged, at most once per interval: the
//! process is short of processor time, and its timeouts are late too.
constexpr duration max_tick_delay = 100ms;
constexpr duration delay_log_interval = 1s;

constexpr duration ended_connection_log_interval = 1s;

//! Reading from a runner resumes when fewer bytes wait to be sent to the
//! caller.
constexpr std::size_t resume_queued_bytes = 65'536;

//! Time after the start of a drain during which new callers are still accepted,
//! because the platform notices only then that the VM is not ready.
constexpr duration drain_accept_time = 2500ms;

//! A VM with a slower link announces proportionally less capacity, so that it
//! is less likely to schedule for the fleet.
constexpr double full_capacity_link_mbps = 100;

//! Requests in progress are given up this long before the end of the grace
//! period.
constexpr duration grace_margin = 600ms;

//! The process exits this long before the end of the grace period. The time in
//! between is for sending the last answers.
constexpr duration exit_margin = 300ms;

//! Counted for a request beside its content.
constexpr std::size_t request_bytes = 4096;

//! A body is held once, and again while the socket to a runner does not take
//! it.
constexpr std::size_t copies_of_body = 2;

//! Part of the memory of the VM that large answers may take together. What is
//! held of an answer takes up to twice its size, and again when it is sent.
constexpr std::size_t answer_memory_divisor = 8;

//! Limits that are not set by the manifest.
client_shares shares_of(platform::node_settings const& settings)
{
    return divide_among_clients(settings.memory_bytes, settings.max_sockets);
}

net::server_limits to_server_limits(model::caller_limits const& from,
                                    std::size_t max_connections)
{
    net::server_limits out;
    out.max_connections = max_connections;
    out.replace_connections = true;
    out.max_header_bytes = from.max_header_bytes;
    out.max_body_bytes = from.max_body_bytes;
    out.header_timeout = from.header_timeout;
    out.idle_timeout = from.idle_timeout;
    return out;
}

std::optional<model::cold_start_bounds>
cold_starts_of(platform::node_settings const& settings)
{
    if (!settings.cold_rate_factor)
        return std::nullopt;
    return model::cold_start_bounds{*settings.cold_rate_factor,
                                    settings.cold_slack};
}

} // namespace

gateway_process::gateway_process(asio::io_context& loop,
                                 platform::node_settings settings,
                                 std::uint64_t incarnation, int log_descriptor)
    : loop_(loop), settings_(std::move(settings)), incarnation_(incarnation),
      reducer_({settings_.vm_name,
                settings_.failure_domain,
                settings_.drain_timeout,
                store::runner_watch_timing(settings_).pause,
                settings_.settle_time,
                {settings_.retry_budget_ratio, settings_.retry_budget_slack,
                 settings_.retry_budget_window},
                settings_.first_start ? time_point() : now(),
                settings_.evacuation_timeout,
                cold_starts_of(settings_),
                !settings_.first_start}),
      log_writer_(log_descriptor, settings_.vm_name),
      answer_memory_(std::make_shared<answer_memory>(settings_.memory_bytes /
                                                     answer_memory_divisor)),
      caller_memory_(std::make_shared<net::memory_budget>(
          shares_of(settings_).callers.memory_bytes)),
      http_client_(loop, [this] { return now(); }),
      peer_sender_(
          http_client_, settings_.vm_name, incarnation,
          transfer_pace_of(settings_),
          {[this](std::string const& member, std::uint64_t value) {
               reduce(model::peer_answered{member, value});
           },
           [this](std::string const& member,
                  std::vector<peer::peer_message> undelivered) {
               reduce(model::peer_unreachable{member, std::move(undelivered)});
           }}),
      caller_server_(
          loop, *this,
          [this, max_connections = shares_of(settings_).callers.connections]
          {
              auto const* manifest = reducer_.current_manifest();
              return to_server_limits(manifest != nullptr
                                          ? manifest->limits
                                          : model::caller_limits(),
                                      max_connections);
          },
          [this] { return now(); }, caller_memory_),
      crash_record_writer_(loop, settings_.vm_name, crash_record_callbacks()),
      next_ref_(model::first_request_ref(incarnation)), tick_timer_(loop),
      registration_timer_(loop), runner_list_timer_(loop)
{
    self_.name = settings_.vm_name;
    self_.address =
        platform::endpoint{settings_.address, settings_.first_peer_port}
            .to_string();
    self_.failure_domain = settings_.failure_domain;
    self_.incarnation = incarnation;
    self_.capacity =
        settings_.cpu_share *
        std::min(1.0, settings_.link_mbps / full_capacity_link_mbps);
    control_handler::callback_set callbacks;
    callbacks.is_ready = [this] { return reducer_.ready(); };
    callbacks.metrics_text = [this] { return metrics_.to_text(); };
    callbacks.receive_messages = [this](peer::envelope in)
    {
        reduce(model::peer_answered{in.member, in.incarnation});
        reduce(model::peer_sent{in.member, std::move(in.messages)});
        return peer::encode_envelope({settings_.vm_name, incarnation_, {}});
    };
    callbacks.newer_manifest = [this](std::uint64_t after)
    {
        auto const* current = reducer_.current_manifest();
        bool const newer = current != nullptr && current->version > after;
        return newer ? encoded_manifest_ : std::string();
    };
    callbacks.connection_ended = [this](std::size_t bytes)
    { record_ended_connection("control", bytes); };
    control_handler_ = std::make_unique<control_handler>(
        loop, [this] { return now(); }, shares_of(settings_),
        std::move(callbacks));
}

gateway_process::~gateway_process() = default;

time_point gateway_process::now() const
{
    // Unlike CLOCK_MONOTONIC, this clock advances while the VM is suspended, as
    // deadlines do.
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(std::chrono::seconds(at.tv_sec) +
                      std::chrono::nanoseconds(at.tv_nsec));
}

void gateway_process::start()
{
    control_handler_->readiness().listen(settings_.readiness_endpoint.address,
                                         settings_.readiness_endpoint.port);
    control_handler_->peers().listen(settings_.address,
                                     settings_.first_peer_port);
    caller_server_.listen(settings_.caller_endpoint.address,
                          settings_.caller_endpoint.port);
    log("started", {{"failure_domain", settings_.failure_domain},
                    {"callers", settings_.caller_endpoint.to_string()},
                    {"store", settings_.store_endpoint.to_string()},
                    {"incarnation", std::to_string(incarnation_)}});
    log_warnings(settings_);
    start_store_watchers();
    register_member();
    schedule_tick();
}

void gateway_process::log(char const* what,
                          std::vector<model::log_decision::field> fields)
{
    log_writer_.write({what, {}, std::move(fields)}, now());
}

void gateway_process::reload(platform::node_settings const& settings)
{
    // All other settings take effect after a restart. A drain may have to end
    // sooner, but has no more time than it was given at its start.
    bool const shorter = settings.grace_period < settings_.grace_period;
    log("settings_reloaded", {});
    log_warnings(settings);
    if (draining_ && !shorter)
        return;
    settings_.grace_period = settings.grace_period;
    if (draining_)
        plan_drain(now());
}

void gateway_process::refuse_reload(std::string const& reason)
{
    log("settings_refused", {{"reason", reason}});
}

void gateway_process::log_warnings(platform::node_settings const& settings)
{
    for (auto const& it : settings.warnings)
        log("settings_incomplete", {{"reason", it}});
}

void gateway_process::drain()
{
    if (draining_)
        return;
    draining_ = true;
    drain_started_at_ = now();
    caller_server_.announce_end();
    plan_drain(drain_started_at_);
}

void gateway_process::plan_drain(time_point at)
{
    auto const end = drain_started_at_ + settings_.grace_period;
    exit_at_ = end - exit_margin;
    reduce(model::drain_started{drain_started_at_ + drain_accept_time - at,
                                end - grace_margin - at});
}

void gateway_process::stop_when_drained(time_point at)
{
    if (!draining_)
        return;
    auto const since = at - drain_started_at_;
    if (listening_ && since >= drain_accept_time)
    {
        listening_ = false;
        caller_server_.stop_listening();
        caller_server_.finish_all();
    }
    bool const done = !listening_ && requests_.empty() &&
                      caller_server_.serving() == 0 && !reducer_.busy() &&
                      caller_server_.connections() == 0;
    if (!done && at < exit_at_)
        return;
    log("stopped", {{"active", std::to_string(requests_.size())}});
    log_writer_.flush();
    loop_.stop();
}

void gateway_process::schedule_tick()
{
    auto const interval = reducer_.busy() || !requests_.empty()
                              ? busy_tick_interval
                              : idle_tick_interval;
    tick_due_at_ = now() + interval;
    tick_timer_.start(interval, [this] { tick(); });
}

void gateway_process::record_tick_delay(time_point at)
{
    auto const delay = std::max<duration>(at - tick_due_at_, duration::zero());
    metrics_.observe_tick_delay(delay);
    if (delay <= max_tick_delay || at - delay_logged_at_ < delay_log_interval)
        return;
    delay_logged_at_ = at;
    auto const delay_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
    log("tick_delayed", {{"delay_ms", std::to_string(delay_ms)},
                         {"requests", std::to_string(requests_.size())}});
}

void gateway_process::tick()
{
    auto const at = now();
    record_tick_delay(at);
    // What had arrived when the last tick began was read since then. What came
    // later may not have been read yet if the process was delayed, so that
    // silence and idle times are measured until the last tick only.
    auto const input_until = std::exchange(ticked_at_, at);
    http_client_.check_times(input_until);
    reduce(model::timer_fired{input_until});
    if (at - limits_checked_at_ >= limit_check_interval)
    {
        limits_checked_at_ = at;
        caller_server_.check_limits(input_until);
        control_handler_->check_limits(input_until);
        metrics_.set_active(requests_.size(), caller_server_.connections());
        metrics_.set_limited_runners(reducer_.rate_limited_runners());
        metrics_.set_evacuated_domains(reducer_.evacuated_domains());
        metrics_.set_cold_runners(reducer_.cold_runners(at));
        metrics_.set_caller_bytes(caller_memory_->held());
        log_writer_.flush();
    }
    drop_lapsed_members(at);
    fetch_manifest_from_peer(at);
    stop_when_drained(at);
    schedule_tick();
}

void gateway_process::reduce(model::event input)
{
    pending_events_.push_back(std::move(input));
    if (reducing_)
        return;
    reducing_ = true;
    for (std::size_t i = 0; i < pending_events_.size(); ++i)
    {
        auto const event = std::move(pending_events_[i]);
        for (auto const& effect : reducer_.reduce(event, now()))
            std::visit([&](auto const& it) { execute(it); }, effect);
    }
    pending_events_.clear();
    reducing_ = false;
}

gateway_process::caller_request* gateway_process::find_request(request_ref ref)
{
    auto const found = requests_.find(ref);
    return found == requests_.end() ? nullptr : &found->second;
}

net::server_connection*
gateway_process::find_connection(caller_request const& it)
{
    return it.caller_present ? caller_server_.find(it.connection_id) : nullptr;
}

void gateway_process::destroy_later(std::unique_ptr<runner_attempt> attempt)
{
    // A member function of the attempt may be on the call stack.
    if (attempt != nullptr)
        asio::post(loop_, [keep = std::shared_ptr<runner_attempt>(
                               std::move(attempt))] {});
}

void gateway_process::erase_request(request_ref ref, char const* outcome)
{
    auto const found = requests_.find(ref);
    if (found == requests_.end())
        return;
    metrics_.count_request(outcome, now() - found->second.arrived_at);
    destroy_later(std::move(found->second.attempt));
    ref_by_connection_.erase(found->second.connection_id);
    requests_.erase(found);
}

void gateway_process::on_request(net::server_connection& from,
                                 http::request_head& head, std::string& body)
{
    auto decoded = platform::decode_request(head);
    if (decoded.problem != platform::request_problem::none)
    {
        auto const problem = platform::text_of(decoded.problem);
        log("request_malformed",
            {{"path", std::string(head.path())}, {"problem", problem}});
        std::string answer;
        http::append_status_line(answer, 400);
        http::append_header(answer, "Content-Type", "text/plain");
        from.answer(std::move(answer), problem);
        metrics_.count_request("malformed", {});
        return;
    }
    decoded.traits.body_hash = decision::stable_hash(body);
    decoded.traits.on_reused_connection = from.requests_received() > 1;
    auto const ref = next_ref_++;
    auto& it = requests_.try_emplace(ref, caller_memory_).first->second;
    it.connection_id = from.id();
    // The connection still needs the rest of the head for its response.
    auto headers = std::exchange(head.headers, {});
    it.head = head;
    it.head.headers = std::move(headers);
    it.body = std::make_shared<std::string const>(std::move(body));
    it.memory.resize(request_bytes + http::memory_of(it.head.headers) +
                     copies_of_body * it.body->capacity());
    it.request_id = decoded.traits.id;
    it.arrived_at = now();
    ref_by_connection_[from.id()] = ref;
    reduce(model::request_arrived{ref, std::move(decoded.traits)});
}

void gateway_process::on_caller_left(net::server_connection& from)
{
    auto const found = ref_by_connection_.find(from.id());
    if (found == ref_by_connection_.end())
        return;
    auto const ref = found->second;
    if (auto* it = find_request(ref))
        it->caller_present = false;
    reduce(model::caller_left{ref});
    // The reducer lets some requests finish without their caller; these keep
    // their attempt.
    if (auto* left = find_request(ref);
        left != nullptr && left->attempt == nullptr)
        erase_request(ref, "caller_left");
}

void gateway_process::on_drained(net::server_connection& from)
{
    auto const found = ref_by_connection_.find(from.id());
    if (found == ref_by_connection_.end())
        return;
    auto* it = find_request(found->second);
    if (it != nullptr && it->reading_paused && it->attempt != nullptr &&
        from.queued() < resume_queued_bytes)
    {
        it->reading_paused = false;
        http_client_.resume(it->attempt->call);
        reduce(model::delivery_blocked{found->second, false});
    }
}

void gateway_process::on_ended_for_others(net::server_connection&,
                                          std::size_t bytes)
{
    record_ended_connection("callers", bytes);
}

void gateway_process::record_ended_connection(char const* server,
                                              std::size_t bytes)
{
    metrics_.count_ended_connection();
    ++ended_connections_;
    auto const at = now();
    if (at - ended_connection_logged_at_ < ended_connection_log_interval)
        return;
    ended_connection_logged_at_ = at;
    log("connections_ended",
        {{"server", server},
         {"bytes", std::to_string(bytes)},
         {"held_bytes", std::to_string(caller_memory_->held())},
         {"connections", std::to_string(caller_server_.connections())},
         {"count",
          std::to_string(std::exchange(ended_connections_, std::size_t{0}))}});
}

void gateway_process::on_discarded(net::server_connection& from,
                                   std::size_t bytes, net::duration since_close)
{
    metrics_.count_discarded_input(bytes);
    auto const since_close_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_close)
            .count();
    log("input_discarded",
        {{"bytes", std::to_string(bytes)},
         {"requests", std::to_string(from.requests_received())},
         {"since_close_ms", std::to_string(since_close_ms)}});
}

} // namespace buckthornvale::gateway
