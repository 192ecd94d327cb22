#include "control_handler.hpp"
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/gateway/gateway_process.hpp>
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

constexpr duration busy_tick = 20ms;
constexpr duration idle_tick = 100ms;
constexpr duration limits_interval = 250ms;

constexpr duration runner_connect_timeout = 300ms;

//! The end of a request is decided by the reducer; this only frees a
//! connection that it has forgotten.
constexpr duration call_slack = 500ms;

//! Idle time after which a kept connection is not trusted with a request that
//! cannot be repeated.
constexpr duration reliable_idle = 5s;

//! Bytes of an answer that wait for a slow caller before its runner is read no
//! further.
constexpr std::size_t max_queued = 262'144;
constexpr std::size_t resume_queued = 65'536;

//! New callers are taken for this long after the start of a drain: the
//! platform notices only then that the VM is not ready.
constexpr duration drain_listen = 2500ms;

//! A narrower link counts against a VM that could schedule for the fleet.
constexpr double wide_link_mbps = 100;

//! Time before the end of the grace period at which the process ends.
constexpr duration grace_margin = 600ms;

net::server_limits server_limits_of(model::caller_limits const& from)
{
    net::server_limits out;
    out.max_header_bytes = from.max_header_bytes;
    out.max_body_bytes = from.max_body_bytes;
    out.header_timeout = from.header_timeout;
    out.idle_timeout = from.idle_timeout;
    return out;
}

} // namespace

gateway_process::gateway_process(asio::io_context& loop,
                                 platform::node_settings settings,
                                 std::uint64_t incarnation, int log_descriptor)
    : loop_(loop), settings_(std::move(settings)), incarnation_(incarnation),
      reducer_({settings_.vm_name,
                settings_.failure_domain,
                settings_.drain_timeout,
                runners_pause(settings_),
                {settings_.retry_budget_ratio, settings_.retry_budget_slack,
                 settings_.retry_budget_window}}),
      log_(log_descriptor, settings_.vm_name),
      client_(loop, [this] { return now(); }),
      peers_(
          client_, settings_.vm_name, incarnation,
          {[this](std::string const& member, std::uint64_t value) {
               reduce(model::peer_answered{member, value});
           },
           [this](std::string const& member,
                  std::vector<peer::peer_message> undelivered) {
               reduce(model::peer_unreachable{member, std::move(undelivered)});
           }}),
      callers_(
          loop, *this,
          [this]
          {
              auto const* manifest = reducer_.current_manifest();
              return server_limits_of(manifest != nullptr
                                          ? manifest->limits
                                          : model::caller_limits());
          },
          [this] { return now(); }),
      next_ref_(model::first_request_ref(incarnation)), timer_(loop)
{
    self_.name = settings_.vm_name;
    self_.address =
        platform::endpoint{settings_.address, settings_.first_peer_port}
            .to_string();
    self_.failure_domain = settings_.failure_domain;
    self_.incarnation = incarnation;
    self_.capacity = settings_.cpu_share *
                     std::min(1.0, settings_.link_mbps / wide_link_mbps);
    control_handler::callback_set callbacks;
    callbacks.ready = [this] { return reducer_.ready(); };
    callbacks.metrics = [this] { return metrics_.to_text(); };
    callbacks.messages = [this](peer::envelope in)
    {
        reduce(model::peer_answered{in.member, in.incarnation});
        reduce(model::peer_sent{in.member, std::move(in.messages)});
        return peer::encode_envelope({settings_.vm_name, incarnation_, {}});
    };
    callbacks.manifest = [this](std::uint64_t after)
    {
        auto const* current = reducer_.current_manifest();
        bool const newer = current != nullptr && current->version > after;
        return newer ? manifest_text_ : std::string();
    };
    control_ = std::make_unique<control_handler>(
        loop, [this] { return now(); }, std::move(callbacks));
}

gateway_process::~gateway_process() = default;

time_point gateway_process::now() const
{
    // This clock goes on while the VM is suspended, as deadlines do.
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(std::chrono::seconds(at.tv_sec) +
                      std::chrono::nanoseconds(at.tv_nsec));
}

void gateway_process::start()
{
    control_->readiness().listen(settings_.readiness_endpoint.address,
                                 settings_.readiness_endpoint.port);
    control_->peers().listen(settings_.address, settings_.first_peer_port);
    callers_.listen(settings_.caller_endpoint.address,
                    settings_.caller_endpoint.port);
    log("started", {{"failure_domain", settings_.failure_domain},
                    {"callers", settings_.caller_endpoint.to_string()},
                    {"store", settings_.store_endpoint.to_string()},
                    {"incarnation", std::to_string(incarnation_)}});
    watch_store();
    register_member();
    schedule_tick();
}

void gateway_process::log(char const* what,
                          std::vector<model::log_decision::field> fields)
{
    log_.write({what, {}, std::move(fields)}, now());
}

void gateway_process::reload(platform::node_settings const& settings)
{
    // All else stays as it is until a restart.
    settings_.grace_period = settings.grace_period;
    log("settings_reloaded", {});
}

void gateway_process::drain()
{
    if (draining_)
        return;
    draining_ = true;
    drain_started_ = now();
    callers_.announce_end();
    reduce(model::drain_started{});
}

void gateway_process::check_drained(time_point at)
{
    if (!draining_)
        return;
    auto const since = at - drain_started_;
    if (listening_ && since >= drain_listen)
    {
        listening_ = false;
        callers_.stop_listening();
        callers_.finish_all();
    }
    bool const done = !listening_ && requests_.empty() &&
                      callers_.serving() == 0 && !reducer_.busy() &&
                      callers_.connections() == 0;
    if (!done && since < settings_.grace_period - grace_margin)
        return;
    log("stopped", {{"active", std::to_string(requests_.size())}});
    log_.flush();
    loop_.stop();
}

void gateway_process::schedule_tick()
{
    timer_.expires_after(reducer_.busy() || !requests_.empty() ? busy_tick
                                                               : idle_tick);
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (!ec)
                tick();
        });
}

void gateway_process::tick()
{
    auto const at = now();
    client_.check_times(at);
    reduce(model::timer_fired{});
    if (at - limits_checked_ >= limits_interval)
    {
        limits_checked_ = at;
        callers_.check_limits(at);
        control_->check_limits(at);
        metrics_.set_active(requests_.size(), callers_.connections());
        log_.flush();
    }
    ask_peer_for_manifest(at);
    check_drained(at);
    schedule_tick();
}

void gateway_process::reduce(model::event input)
{
    pending_.push_back(std::move(input));
    if (reducing_)
        return;
    reducing_ = true;
    for (std::size_t i = 0; i < pending_.size(); ++i)
    {
        auto const event = std::move(pending_[i]);
        for (auto const& effect : reducer_.reduce(event, now()))
            std::visit([&](auto const& it) { carry_out(it); }, effect);
    }
    pending_.clear();
    reducing_ = false;
}

gateway_process::caller_request* gateway_process::find_request(request_ref ref)
{
    auto const found = requests_.find(ref);
    return found == requests_.end() ? nullptr : &found->second;
}

net::server_connection* gateway_process::connection_of(caller_request const& it)
{
    return it.caller_present ? callers_.find(it.connection) : nullptr;
}

void gateway_process::retire(std::unique_ptr<runner_attempt> attempt)
{
    // The attempt may be in one of its own functions.
    if (attempt != nullptr)
        asio::post(loop_, [keep = std::shared_ptr<runner_attempt>(
                               std::move(attempt))] {});
}

void gateway_process::forget_request(request_ref ref, char const* outcome)
{
    auto const found = requests_.find(ref);
    if (found == requests_.end())
        return;
    metrics_.count_request(outcome, now() - found->second.arrived);
    retire(std::move(found->second.attempt));
    ref_by_connection_.erase(found->second.connection);
    requests_.erase(found);
}

void gateway_process::on_request(net::server_connection& from,
                                 http::request_head& head, std::string& body)
{
    auto decoded = platform::decode_request(head);
    if (decoded.problem != platform::request_problem::none)
    {
        std::string answer;
        http::append_status_line(answer, 400);
        from.answer(std::move(answer), {});
        metrics_.count_request("malformed", {});
        log("request_malformed", {{"path", std::string(head.path())}});
        return;
    }
    decoded.traits.body_hash = decision::stable_hash(body);
    auto const ref = next_ref_++;
    auto& it = requests_[ref];
    it.connection = from.id();
    it.head = head;
    it.body = std::make_shared<std::string const>(std::move(body));
    it.request_id = decoded.traits.id;
    it.arrived = now();
    ref_by_connection_[from.id()] = ref;
    reduce(model::request_arrived{ref, std::move(decoded.traits)});
}

void gateway_process::on_caller_left(net::server_connection& from)
{
    auto const found = ref_by_connection_.find(from.id());
    if (found == ref_by_connection_.end())
        return;
    auto const ref = found->second;
    auto& it = requests_[ref];
    it.caller_present = false;
    reduce(model::caller_left{ref});
    // A request that is left to finish keeps its attempt.
    if (auto* left = find_request(ref);
        left != nullptr && left->attempt == nullptr)
        forget_request(ref, "caller_left");
}

void gateway_process::on_drained(net::server_connection& from)
{
    auto const found = ref_by_connection_.find(from.id());
    if (found == ref_by_connection_.end())
        return;
    auto& it = requests_[found->second];
    if (it.paused && it.attempt != nullptr && from.queued() < resume_queued)
    {
        it.paused = false;
        client_.resume(it.attempt->call);
    }
}

void gateway_process::carry_out(model::send_attempt const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr)
        return;
    platform::runner_headers own;
    own.expected_runner = effect.runner_id;
    own.organisation = effect.organisation;
    own.time_left = effect.time_left;
    own.priority = effect.priority;
    own.inputs = effect.inputs;
    own.last_event_id = effect.last_event_id;
    net::call_options options;
    options.connect_timeout =
        std::min(runner_connect_timeout, effect.time_left);
    options.timeout = effect.time_left + call_slack;
    if (effect.reliable_connection)
        options.max_idle = reliable_idle;
    retire(std::move(it->attempt));
    it->attempt = std::make_unique<runner_attempt>(
        *this, effect.request, effect.attempt, it->request_id, effect.stream);
    it->attempt->call = client_.call(
        effect.address,
        platform::encode_runner_request(it->head, it->body->size(), own),
        it->body, options, *it->attempt);
    metrics_.count_send();
}

void gateway_process::carry_out(model::cancel_attempt const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr || it->attempt == nullptr ||
        it->attempt->number() != effect.attempt)
        return;
    client_.cancel(it->attempt->call);
    retire(std::move(it->attempt));
}

std::string gateway_process::answer_head(http::response_head const& head) const
{
    std::string out;
    http::append_status_line(out, head.status);
    http::connection_headers const connection(head.headers);
    for (auto const& it : head.headers)
    {
        bool const framing =
            http::equals_ignoring_case(it.name, "content-length") ||
            connection.contains(it.name);
        if (!framing)
            http::append_header(out, it.name, it.value);
    }
    return out;
}

void gateway_process::start_stream(caller_request& it,
                                   net::server_connection& to,
                                   runner_attempt const& from)
{
    if (it.answer_started)
        return;
    it.answer_started = true;
    to.start_answer(answer_head(from.head()));
}

void gateway_process::on_events(runner_attempt& from, std::string_view events)
{
    auto* it = find_request(from.request());
    if (it == nullptr || it->attempt.get() != &from)
        return;
    auto* to = connection_of(*it);
    if (to == nullptr)
        return;
    bool const first = !it->answer_started;
    start_stream(*it, *to, from);
    to->send_part(events);
    if (to->queued() > max_queued && !it->paused)
    {
        it->paused = true;
        client_.pause(from.call);
    }
    if (first)
        reduce(model::stream_started{from.request(), from.number(),
                                     from.answer().load, from.last_id()});
    else
        reduce(model::stream_advanced{from.request(), from.number(),
                                      from.last_id()});
}

void gateway_process::on_attempt_ended(runner_attempt& from,
                                       model::attempt_ended const& outcome)
{
    auto* it = find_request(from.request());
    if (it == nullptr || it->attempt.get() != &from)
        return;
    bool const present = it->caller_present;
    auto const ref = from.request();
    reduce(outcome);
    if (!present)
        forget_request(ref, "caller_left");
}

void gateway_process::carry_out(model::deliver_answer const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr || it->attempt == nullptr)
        return;
    auto& attempt = *it->attempt;
    if (auto* to = connection_of(*it))
    {
        if (it->answer_started)
        {
            to->send_part(attempt.body());
            to->end_answer();
        }
        else
            to->answer(answer_head(attempt.head()), attempt.body());
    }
    forget_request(effect.request, "answered");
}

void gateway_process::carry_out(model::refuse_request const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr)
        return;
    auto const* name = model::traits_of(effect.reason).name;
    if (auto* to = connection_of(*it))
    {
        std::string head;
        http::append_status_line(head, effect.status);
        http::append_header(head, platform::request_id_header, it->request_id);
        if (effect.retry_after)
        {
            char buf[32];
            std::snprintf(buf, sizeof(buf), "%.3f",
                          decision::to_seconds(*effect.retry_after));
            http::append_header(head, platform::retry_after_header, buf);
        }
        http::append_header(head, "Content-Type", "text/plain");
        to->answer(std::move(head), name);
    }
    forget_request(effect.request, name);
}

void gateway_process::carry_out(model::abort_stream const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr)
        return;
    if (auto* to = connection_of(*it))
        to->abort();
    forget_request(effect.request, "aborted");
}

void gateway_process::carry_out(model::log_decision const& effect)
{
    log_.write(effect, now());
}

void gateway_process::carry_out(model::send_to_peer const& effect)
{
    peers_.send(effect.member, effect.address, effect.message);
}

} // namespace buckthornvale::gateway
