#include <buckthornvale/decision/reducer/reducer.hpp>

#include <iterator>
#include <type_traits>
#include <utility>

namespace buckthornvale::decision
{

namespace
{

bookings::booking_settings with_identity(bookings::booking_settings value,
                                         vm_id self, std::uint64_t incarnation)
{
    value.self = self;
    value.incarnation = incarnation;
    return value;
}

// Each component has its own random generator, so that random numbers drawn by
// one do not change the sequences of the others.
std::uint64_t seed_for(std::uint64_t seed, std::uint64_t concern)
{
    return seed * 0x9e3779b97f4a7c15ULL + concern;
}

} // namespace

reducer::reducer(reducer_settings const& settings)
    : settings_(settings), self_(vm_id::of(settings.vm)),
      config_(settings.config, seed_for(settings.seed, 1)),
      admission_(settings.admission, seed_for(settings.seed, 2)),
      router_(settings.routing, seed_for(settings.seed, 3)),
      isolation_(settings.isolation, settings.incarnation),
      bookings_(with_identity(settings.bookings, self_, settings.incarnation),
                seed_for(settings.seed, 4)),
      membership_(self_),
      detector_(self_, settings.detector, seed_for(settings.seed, 5)),
      summaries_(settings.summaries),
      request_flow_({admission_, bookings_, isolation_, router_, retry_budget_,
                     deadline_split_, hedge_policy_, settings_view_},
                    failure_domain_id::of(settings.failure_domain),
                    settings.incarnation)
{
}

void reducer::reduce(event const& value, time_point now, effects& out)
{
    std::visit([&](auto const& it) { on(it, now, out); }, value);
    flush(out);
}

bool reducer::ready() const
{
    return settings_view_.ready() && config_.ready() && !draining_;
}

reducer_status reducer::status() const
{
    reducer_status status;
    status.settings_revision = config_.revision();
    status.ready = ready();
    status.draining = draining_;
    status.requests_in_flight = request_flow_.in_flight();
    status.queued = admission_.counts().queued;
    auto const members = membership_.members();
    status.members.assign(members.begin(), members.end());
    return status;
}

void reducer::flush(effects& out)
{
    for (auto& it : request_effects_)
        std::visit([&](auto& one) { out.emplace_back(std::move(one)); }, it);
    request_effects_.clear();
    flush_store(out);
}

void reducer::flush_store(effects& out)
{
    for (auto& it : store_effects_)
    {
        std::visit(
            [&](auto& one)
            {
                using kind = std::decay_t<decltype(one)>;
                if constexpr (std::is_same_v<kind, bookings::forward_update>)
                    out.emplace_back(send_peer{one.to, std::move(one.update)});
                else if constexpr (std::is_same_v<kind, bookings::answer_peer>)
                    out.emplace_back(send_peer{one.to, std::move(one.answer)});
                else if constexpr (std::is_constructible_v<effect, kind>)
                    out.emplace_back(std::move(one));
            },
            it);
    }
    store_effects_.clear();
}

void reducer::apply_booking_effects(bookings::booking_effects& decisions,
                                    time_point now)
{
    request_flow_.on_booking_effects(decisions, now, flow_output());
}

void reducer::log(std::string text)
{
    request_effects_.emplace_back(requests::state_logged{
        requests::state_logged::level::info, std::move(text)});
}

void reducer::on(requests::request_received const& value, time_point now,
                 effects&)
{
    request_flow_.on_request_received(value, now, flow_output());
}

void reducer::on(requests::caller_gone const& value, time_point now, effects&)
{
    request_flow_.on_caller_gone(value, now, flow_output());
}

void reducer::on(requests::outcome_queried const& value, time_point now,
                 effects&)
{
    request_flow_.on_outcome_queried(value, now, flow_output());
}

void reducer::on(requests::attempt_token const& value, time_point now, effects&)
{
    request_flow_.on_token(value, now, flow_output());
}

void reducer::on(requests::attempt_ended const& value, time_point now,
                 effects& out)
{
    request_flow_.on_attempt_ended(value, now, flow_output());
    send_isolation_marks(now, out);
}

void reducer::on(requests::service_outcome_received const& value,
                 time_point now, effects&)
{
    request_flow_.on_service_outcome(value, now, flow_output());
}

void reducer::on(requests::runner_reported const& value, time_point now,
                 effects&)
{
    leaving_reasons_[value.runner].by_report = value.reachable && value.leaving;
    update_leaving(value.runner, now);
    if (!value.reachable)
        return;
    routing::load_report report;
    report.runner = value.runner;
    report.age = value.age;
    report.running = value.running;
    report.queued = value.queued;
    report.tokens_per_s = value.tokens_per_s;
    report.sequence = value.sequence;
    router_.report(report, now);
    std::vector<std::uint64_t> models;
    std::vector<std::uint64_t> adapters;
    for (auto const& it : value.models)
        models.push_back(stable_hash(it));
    for (auto const& it : value.adapters)
        adapters.push_back(stable_hash(it));
    router_.report_resident(value.runner, models, adapters, now);
    auto const* const entry = settings_view_.runners().find(value.runner);
    auto const orders =
        entry == nullptr ? pool_orders_.end() : pool_orders_.find(entry->pool);
    if (orders != pool_orders_.end())
    {
        orders->second.update_engine(value.runner, value.models, value.slots,
                                     value.leaving, now);
    }
}

void reducer::on(requests::runner_cache_changed const& value, time_point now,
                 effects&)
{
    routing::cache_event change;
    change.sequence = value.sequence;
    change.blocks = value.blocks;
    switch (value.change)
    {
    case requests::cache_change::add:
        change.kind = routing::cache_event_kind::add;
        break;
    case requests::cache_change::remove:
        change.kind = routing::cache_event_kind::remove;
        break;
    case requests::cache_change::clear:
        change.kind = routing::cache_event_kind::clear;
        break;
    }
    router_.cache_event(value.runner, change, now);
}

void reducer::on(requests::settings_installed const& value, time_point now,
                 effects&)
{
    settings_view_.install(value);
    auto const& settings = *value.settings;
    for (auto const& it : value.changes)
    {
        if (it.kind == requests::settings_kind::ranks)
            admission_.set_ranks(settings.ranks);
        if (it.kind == requests::settings_kind::fleet)
            apply_fleet_settings(settings.fleet);
        if (it.kind == requests::settings_kind::organisation)
            apply_organisation_settings(it.name);
        if (it.kind == requests::settings_kind::pool)
            apply_pool_settings(it.name, now);
    }
    update_capacity(now);
    request_effects_.emplace_back(
        requests::event_counted{requests::counter::settings_applied,
                                static_cast<double>(value.changes.size())});
}

void reducer::apply_fleet_settings(fleet_parameters const& parameters)
{
    constexpr double thousandths = 1000.;
    auto& routing = settings_.routing;
    routing.remote_cost = parameters.remote_domain_cost;
    routing.warm_up = parameters.warm_up;
    routing.breaker.failures_to_open = parameters.breaker_failures;
    routing.breaker.initial_wait = parameters.breaker_open;
    routing.breaker.slow_factor = parameters.breaker_slowness;
    router_.configure(routing);
    retry::retry_budget_settings retries;
    retries.millitokens_per_first_attempt =
        static_cast<std::int64_t>(parameters.retry_share * thousandths);
    retries.max_millitokens =
        static_cast<std::int64_t>(parameters.retry_burst * thousandths);
    retry_budget_.configure(retries);
    admission_.set_runner_queueing(parameters.runner_queueing);
}

void reducer::apply_pool_settings(std::string const& name, time_point now)
{
    auto const& pools = settings_view_.settings().pools;
    auto const found = pools.find(name);
    if (found == pools.end())
    {
        pool_orders_.erase(pool_id::of(name));
        return router_.set_runners(pool_id::of(name), {}, now);
    }
    auto const& pool = found->second;
    std::vector<routing::runner_info> runners;
    for (auto const& it : pool.runners)
    {
        routing::runner_info info;
        info.id = runner_id::of(it.name);
        info.pool = pool_id::of(pool.name);
        info.domain = failure_domain_id::of(it.failure_domain);
        info.slots = it.slots;
        info.kind = pool.kind;
        runners.push_back(info);
    }
    router_.set_runners(pool_id::of(pool.name), runners, now);
    configure_pool_orders(pool);
    for (auto const& it : pool.runners)
    {
        auto const id = runner_id::of(it.name);
        leaving_reasons_[id].by_settings = it.draining;
        update_leaving(id, now);
    }
}

void reducer::apply_organisation_settings(std::string const& name)
{
    auto const id = organisation_id::of(name);
    auto const& all = settings_view_.settings().organisations;
    auto const it = all.find(name);
    if (it == all.end())
        return admission_.remove_organisation(id);
    admission::organisation_limits limits;
    limits.weight = it->second.weight;
    limits.requests_per_second = it->second.requests_per_second;
    limits.concurrent = it->second.concurrent;
    admission_.set_organisation(id, limits);
}

void reducer::update_leaving(runner_id runner, time_point now)
{
    auto const it = leaving_reasons_.find(runner);
    if (it == leaving_reasons_.end())
        return;
    auto const& reasons = it->second;
    router_.set_leaving(
        runner, reasons.by_settings || reasons.by_report || reasons.by_list,
        now);
}

void reducer::update_capacity(time_point now)
{
    if (!settings_view_.ready())
        return;
    for (auto const& [name, pool] : settings_view_.settings().pools)
    {
        auto const id = pool_id::of(name);
        admission_.set_pool_capacity(id, router_.pool_slots(id, now), now);
    }
}

void reducer::on(bookings::store_answer const& value, time_point now, effects&)
{
    bookings::booking_effects decisions;
    bookings_.store_answer(value, now, wall_time_, decisions);
    apply_booking_effects(decisions, now);
}

void reducer::on(config::list_answer const& value, time_point now, effects& out)
{
    config_.list_page(value, now, config_effects_);
    emit_config_effects(out);
}

void reducer::on(config::watch_answer const& value, time_point now,
                 effects& out)
{
    config_.watch_batch(value, now, config_effects_);
    emit_config_effects(out);
}

void reducer::on(watch_revision_compacted const& value, time_point now,
                 effects& out)
{
    config_.watch_gap(value.token, now, config_effects_);
    emit_config_effects(out);
}

void reducer::on(settings_call_failed const& value, time_point now,
                 effects& out)
{
    config_.store_failed(value.token, now, config_effects_);
    emit_config_effects(out);
}

void reducer::emit_config_effects(effects& out)
{
    for (auto& it : config_effects_)
    {
        if (auto* const list = std::get_if<config::list_objects>(&it))
            out.emplace_back(*list);
        else if (auto* const watch = std::get_if<config::watch_objects>(&it))
            out.emplace_back(*watch);
        else if (auto* const have = std::get_if<config::announce_settings>(&it))
        {
            for (auto peer : connected_peers_)
                out.emplace_back(send_peer{peer, have->message});
        }
        else if (auto* const pull = std::get_if<config::pull_settings>(&it))
            out.emplace_back(send_peer{pull->to, pull->message});
        else if (auto* const push = std::get_if<config::push_settings>(&it))
            out.emplace_back(send_peer{push->to, std::move(push->message)});
        else if (auto* const changed =
                     std::get_if<config::settings_changed>(&it))
            emit_settings_change(*changed, out);
    }
    config_effects_.clear();
}

void reducer::emit_settings_change(config::settings_changed const& changed,
                                   effects& out)
{
    apply_settings apply;
    apply.revision = changed.revision;
    for (auto const& path : changed.paths)
    {
        if (auto const* const object = config_.find(path))
            apply.objects.push_back(*object);
        else
            apply.objects.push_back({path, config_.version_of(path), true, {}});
    }
    out.emplace_back(std::move(apply));
}

void reducer::on(drain_started const&, time_point, effects&)
{
    if (draining_)
        return;
    draining_ = true;
    log("drain started: no longer ready; requests in flight continue");
}

void reducer::emit_counter_changes()
{
    using requests::counter;
    struct total
    {
        counter which;
        std::uint64_t value;
    };
    std::array<total, 3> const totals = {
        {{counter::booking_unknown, bookings_.counters().unknown},
         {counter::content_isolated, isolation_.counters().isolated},
         {counter::retry_refused_by_budget, retry_budget_.refused()}}};
    for (std::size_t n = 0; n < totals.size(); ++n)
    {
        auto const change = totals[n].value - reported_totals_[n];
        reported_totals_[n] = totals[n].value;
        if (change > 0)
        {
            request_effects_.emplace_back(requests::event_counted{
                totals[n].which, static_cast<double>(change)});
        }
    }
}

void reducer::on(ticked const& value, time_point now, effects& out)
{
    wall_time_ = value.wall;
    update_capacity(now);
    request_flow_.tick(now, wall_time_, flow_output());
    bookings::booking_effects decisions;
    bookings_.tick(now, wall_time_, decisions);
    apply_booking_effects(decisions, now);
    config_.tick(now, config_effects_);
    emit_config_effects(out);
    detector_.tick(now, detector_effects_);
    emit_detector_effects(now, out);
    send_summaries(now, out);
    send_isolation_marks(now, out);
    tick_orders(now, out);
    emit_counter_changes();
    isolation_.expire(now);
}

} // namespace buckthornvale::decision
