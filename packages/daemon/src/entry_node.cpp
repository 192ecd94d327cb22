#include <buckthornvale/daemon/entry_node.hpp>
#include <buckthornvale/daemon/status_text.hpp>
#include <buckthornvale/serving/log/logging.hpp>

#include <absl/strings/str_cat.h>
#include <asio/post.hpp>

#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>

namespace buckthornvale::daemon
{

namespace
{

namespace requests = decision::requests;
using std::chrono::milliseconds;

// Bounds how late a deadline, a hedge or a batch is noticed.
constexpr milliseconds tick_period{10};

constexpr decision::duration status_period = std::chrono::seconds(1);

constexpr decision::duration vm_list_period = std::chrono::seconds(1);

// Callers keep idle connections beside those that wait for an answer.
constexpr std::size_t connections_per_caller = 4;

// For health checks and operators.
constexpr std::size_t spare_connections = 32;

decision::wall_time wall_now()
{
    auto const now = std::chrono::system_clock::now();
    return std::chrono::time_point_cast<milliseconds>(now);
}

decision::reducer_settings
reducer_settings_of(settings::process_settings const& from,
                    std::uint64_t incarnation)
{
    decision::reducer_settings settings;
    settings.vm = from.vm;
    settings.failure_domain = from.failure_domain;
    settings.incarnation = incarnation;
    settings.seed = incarnation;
    return settings;
}

serving::http::front_settings
front_settings_of(settings::process_settings const& from,
                  std::uint64_t incarnation)
{
    serving::http::front_settings settings;
    settings.address = from.http.address;
    settings.port = from.http.port;
    settings.incarnation = incarnation;
    settings.max_waiting = from.http.max_callers;
    auto& limits = settings.server;
    limits.max_connections =
        from.http.max_callers * connections_per_caller + spare_connections;
    limits.max_body_bytes = from.limits.body_bytes;
    limits.max_header_bytes = from.limits.header_bytes;
    limits.idle_timeout = from.limits.idle;
    limits.header_timeout = from.limits.request_read;
    limits.receive_timeout = from.limits.request_read;
    settings.operator_key_sha256 = from.http.operator_key_sha256;
    return settings;
}

serving::upstream::upstream_settings
upstream_settings_of(settings::process_settings const& from)
{
    serving::upstream::upstream_settings settings;
    settings.max_calls = from.limits.upstream_calls;
    return settings;
}

peer::link_settings link_settings_of(settings::process_settings const& from,
                                     std::uint64_t incarnation)
{
    peer::link_settings settings;
    settings.self = decision::vm_id::of(from.vm);
    settings.incarnation = incarnation;
    settings.address = from.peer.address;
    settings.port = from.peer.port;
    settings.seed = incarnation;
    return settings;
}

} // namespace

entry_node::entry_node(settings::process_settings settings,
                       std::uint64_t incarnation)
    : settings_(std::move(settings)), incarnation_(incarnation),
      work_(asio::make_work_guard(loop_)), tick_(loop_), notice_(loop_),
      reducer_(reducer_settings_of(settings_, incarnation)),
      metrics_(serving::metrics::metrics_settings{}),
      api_(settings_.platform.address), budget_({}, incarnation),
      front_(front_settings_of(settings_, incarnation),
             {[this] { return ready_.load(); },
              [this] { return metrics_.to_text(); },
              [this] { return *std::atomic_load(&status_); },
              [this] { drain(); }, [] { return wall_now(); }},
             *this),
      upstream_(upstream_settings_of(settings_), *this),
      poller_(serving::upstream::poll_settings{}, *this),
      peers_(link_settings_of(settings_, incarnation), *this),
      store_(api_, budget_, *this),
      status_(std::make_shared<std::string const>("{}"))
{
}

entry_node::~entry_node()
{
    loop_.stop();
    if (finisher_.joinable())
        finisher_.join();
    peers_.stop();
}

absl::Status entry_node::start()
{
    if (auto status = peers_.start(); !status.ok())
        return status;
    publish_status();
    if (!front_.start())
    {
        return absl::UnavailableError(absl::StrCat(
            "cannot listen on ", settings_.http.address, ":",
            settings_.http.port, "; choose a free address in [http]"));
    }
    store_.start_vm_list(vm_list_period);
    schedule_tick();
    return absl::OkStatus();
}

void entry_node::run()
{
    loop_.run();
}

void entry_node::post(decision::event value)
{
    asio::post(loop_, [this, value = std::move(value)] { step(value); });
}

void entry_node::step(decision::event const& value)
{
    decision::effects effects;
    reducer_.reduce(value, objects::monotonic_now(), effects);
    execute(effects);
}

void entry_node::execute(decision::effects& effects)
{
    for (auto& effect : effects)
        std::visit([this](auto& it) { execute(it); }, effect);
}

void entry_node::execute(requests::send_answer& answer)
{
    front_.deliver(answer);
}

void entry_node::execute(requests::send_token& token)
{
    front_.deliver(token);
}

void entry_node::execute(requests::start_attempt& attempt)
{
    upstream_.start(std::move(attempt));
}

void entry_node::execute(requests::cancel_attempt& attempt)
{
    upstream_.cancel(attempt);
}

void entry_node::execute(requests::query_service_outcome& query)
{
    upstream_.ask(std::move(query));
}

void entry_node::execute(requests::state_logged& line)
{
    serving::log::write_log(line);
}

void entry_node::execute(decision::send_peer& message)
{
    if (!peers_.execute(message))
    {
        metrics_.count(requests::event_counted{
            requests::counter::peer_message_dropped, 1.});
    }
}

void entry_node::execute(decision::set_peer_targets& targets)
{
    peers_.execute(targets);
}

void entry_node::execute(decision::apply_settings& change)
{
    auto const result = installer_.apply(change);
    for (auto const& it : result.problems)
    {
        metrics_.count(
            requests::event_counted{requests::counter::settings_rejected, 1.});
        serving::log::write_log(
            serving::log::level::warning,
            absl::StrCat("settings change refused, the value in force stays: ",
                         it));
    }
    if (result.installed)
        install(*result.installed);
}

void entry_node::install(requests::settings_installed const& installed)
{
    std::vector<serving::upstream::polled_runner> runners;
    std::vector<std::string> organisations;
    std::vector<std::string> pipelines;
    for (auto const& [name, pool] : installed.settings->pools)
    {
        for (auto const& it : pool.runners)
        {
            runners.push_back({decision::runner_id::of(it.name), it.host,
                               it.port, pool.kind});
        }
    }
    for (auto const& it : installed.settings->organisations)
        organisations.push_back(it.first);
    for (auto const& it : installed.settings->pipelines)
        pipelines.push_back(it.first);
    poller_.set_runners(runners);
    metrics_.set_organisations(organisations);
    metrics_.set_pipelines(pipelines);
    step(installed);
}

void entry_node::schedule_tick()
{
    tick_.expires_after(tick_period);
    tick_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec)
                return;
            step(decision::ticked{wall_now()});
            ready_ = reducer_.ready();
            publish_status();
            finish_drain();
            schedule_tick();
        });
}

void entry_node::publish_status()
{
    auto const now = objects::monotonic_now();
    if (now < next_status_)
        return;
    next_status_ = now + status_period;
    auto texts = make_status(settings_.vm, incarnation_, reducer_.status(),
                             peers_.counters());
    store_.offer_status(absl::StrCat("status/", settings_.vm),
                        std::move(texts.stored));
    std::atomic_store(
        &status_, std::make_shared<std::string const>(std::move(texts.page)));
}

void entry_node::drain()
{
    if (draining_.exchange(true))
        return;
    asio::post(loop_, [this] { begin_drain(); });
}

void entry_node::begin_drain()
{
    step(decision::drain_started{});
    ready_ = false;
    notice_.expires_after(settings_.shutdown.notice);
    notice_.async_wait(
        [this](asio::error_code ec)
        {
            if (ec)
                return;
            front_.stop_accepting();
            finisher_ = std::thread(
                [this]
                {
                    front_.finish();
                    asio::post(loop_, [this] { callers_done_ = true; });
                });
        });
}

// Ends the loop once the last caller has its answer and the last outcome of a
// non-repeatable stage is known or given up.
void entry_node::finish_drain()
{
    if (!callers_done_ || !reducer_.idle())
        return;
    peers_.stop();
    loop_.stop();
}

void entry_node::submit(requests::request_received message)
{
    post(std::move(message));
}

void entry_node::gone(requests::caller_gone message)
{
    post(message);
}

void entry_node::ask(requests::outcome_queried message)
{
    post(std::move(message));
}

void entry_node::token(requests::attempt_token message)
{
    post(std::move(message));
}

void entry_node::ended(requests::attempt_ended message)
{
    post(std::move(message));
}

void entry_node::outcome_told(requests::service_outcome_received message)
{
    post(std::move(message));
}

void entry_node::execute(decision::send_order& order)
{
    serving::upstream::engine_order call;
    call.runner = order.order.runner;
    call.host = order.host;
    call.port = order.port;
    call.fencing = order.order.fencing_token;
    bool const load = order.order.kind == decision::leases::order_kind::load;
    call.kind = load ? "load" : "unload";
    call.name = order.model;
    call.valid_for = order.valid_for;
    {
        std::lock_guard const lock(orders_mutex_);
        open_orders_[{call.runner, order.order.model}] = order;
    }
    upstream_.order(std::move(call));
}

void entry_node::ordered(serving::upstream::order_answered message)
{
    decision::send_order order;
    {
        std::lock_guard const lock(orders_mutex_);
        auto const it = open_orders_.find(
            {message.order.runner, decision::stable_hash(message.order.name)});
        if (it == open_orders_.end())
            return;
        order = it->second;
        open_orders_.erase(it);
    }
    if (message.result != serving::upstream::order_result::accepted)
        post(decision::order_failed{order.pool, order.order});
}

void entry_node::reported(requests::runner_reported message)
{
    post(std::move(message));
}

void entry_node::cache_changed(requests::runner_cache_changed message)
{
    post(std::move(message));
}

} // namespace buckthornvale::daemon
