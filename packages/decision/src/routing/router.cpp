#include <buckthornvale/decision/routing/router.hpp>

#include <algorithm>

namespace buckthornvale::decision::routing
{

namespace
{

constexpr std::size_t adapter_entries = 4096;
//! Number of attempts in flight for which space is reserved.
constexpr std::size_t reserved_attempts = 1024;
//! Number of runners of a pool per concurrent probe, so that a recovering
//! failure domain does not get a probe to each of its runners at once.
constexpr std::size_t runners_per_probe = 16;
//! Weight of one completion in the decayed means.
constexpr double ewma_weight = 0.02;
constexpr double latency_ewma_weight = 0.1;

} // namespace

router::router(routing_settings settings, std::uint64_t seed)
    : settings_(settings), random_(seed),
      prefixes_(settings.prefix.entries, settings.prefix.lifetime),
      adapters_(adapter_entries, settings.prefix.lifetime),
      strategy_(make_strategy(settings.strategy, settings))
{
    attempts_.reserve(reserved_attempts);
}

void router::configure(routing_settings const& settings)
{
    auto const strategy = settings_.strategy;
    auto const prefix = settings_.prefix;
    settings_ = settings;
    settings_.strategy = strategy;
    settings_.prefix = prefix;
}

void router::set_runners(pool_id pool, absl::Span<runner_info const> runners,
                         time_point now)
{
    auto const* const known = table_.find_pool(pool);
    bool const is_first = known == nullptr || known->members.empty();
    added_.clear();
    table_.set_runners(pool, runners, added_);
    if (is_first)
        return;
    for (auto index : added_)
        table_.at(index).ramp.start(now, settings_.warm_up,
                                    settings_.warm_up_start);
}

void router::set_leaving(runner_id runner, bool leaving, time_point)
{
    table_.set_leaving(runner, leaving);
}

void router::set_reserved(runner_id runner, bool reserved, time_point)
{
    auto const index = table_.index_of(runner);
    if (index == no_index || table_.at(index).reserved == reserved)
        return;
    table_.at(index).reserved = reserved;
    table_.rebuild(table_.at(index).info.pool);
}

void router::set_fleet_size(std::size_t live_vms, time_point)
{
    double const others = live_vms > 1 ? double(live_vms - 1) : 0.;
    correlated_peers_ = std::min(settings_.max_correlated_peers,
                                 settings_.correlated_peer_share * others);
}

void router::report(load_report const& value, time_point now)
{
    auto const index = table_.index_of(value.runner);
    if (index == no_index)
        return;
    auto& load = table_.at(index).load;
    auto& pool = table_.pool_of(index);
    double const before = load.other_requests();
    pool.reporting += load.has_report() ? 0 : 1;
    if (!load.report(value, now))
        ++counters_.stale_reports;
    pool.sum_other_requests += load.other_requests() - before;
}

void router::report_resident(runner_id runner,
                             absl::Span<std::uint64_t const> models,
                             absl::Span<std::uint64_t const> adapters,
                             time_point now)
{
    auto const index = table_.index_of(runner);
    if (index == no_index)
        return;
    auto& entry = table_.at(index);
    ++entry.adapters_reported;
    adapters = adapters.subspan(0, settings_.adapters_per_runner);
    for (auto const& it : adapters)
        adapters_.add({&it, 1}, {index, entry.adapters_reported}, now);
    bool const same = std::equal(models.begin(), models.end(),
                                 entry.models.begin(), entry.models.end());
    if (same)
        return;
    entry.models.assign(models.begin(), models.end());
    table_.rebuild(entry.info.pool);
}

void router::cache_event(runner_id runner, routing::cache_event const& event,
                         time_point now)
{
    auto const index = table_.index_of(runner);
    if (index == no_index)
        return;
    auto& cache = table_.at(index).cache;
    double const trust = cache.trust();
    cache.apply(event, index, prefixes_, now);
    if (cache.trust() < trust)
        ++counters_.cache_gaps;
}

std::optional<runner_id> router::choose(route_query const& query,
                                        time_point now)
{
    ++counters_.choices;
    auto* const pool = table_.find_pool(query.pool);
    if (pool == nullptr)
    {
        ++counters_.no_runner;
        return std::nullopt;
    }
    if (now >= pool->next_probe)
    {
        auto const probe = choose_probe(*pool, query, now);
        if (probe)
            return probe;
    }
    candidates from(settings_, table_, *pool, query, correlated_peers_, now);
    find_matches(from, query, now);
    auto const index = query.needs_empty_runner
                           ? choose_idle(from)
                           : strategy_->choose(from, random_);
    if (index == no_index)
    {
        ++counters_.no_runner;
        return std::nullopt;
    }
    return table_.at(index).info.id;
}

void router::sent(runner_id runner, attempt_id attempt,
                  route_query const& query, time_point now)
{
    auto const index = table_.index_of(runner);
    if (index == no_index)
        return;
    auto& entry = table_.at(index);
    auto& pool = table_.pool_of(index);
    candidates from(settings_, table_, pool, query, correlated_peers_, now);
    find_matches(from, query, now);
    tracked_attempt started;
    started.runner = index;
    started.incarnation = entry.incarnation;
    started.work = from.work(index);
    started.probe = entry.breaker.probe_due(now);
    if (started.probe)
    {
        ++counters_.probes;
        ++pool.probes;
        entry.breaker.start_probe();
        table_.rebuild(entry.info.pool);
    }
    attempts_[attempt] = started;
    entry.load.sent(now);
    double const work = to_seconds(query.expected_work);
    if (work > 0.)
        pool.mean_work += (work - pool.mean_work) * ewma_weight;
    record_cached(index, query, now);
}

void router::finished(attempt_id attempt, attempt_result result, duration took,
                      time_point now)
{
    auto const it = attempts_.find(attempt);
    if (it == attempts_.end())
    {
        ++counters_.unknown_attempts;
        return;
    }
    auto const ended = it->second;
    attempts_.erase(it);
    auto& entry = table_.at(ended.runner);
    if (entry.incarnation != ended.incarnation)
        return; // the runner has since been removed from the list
    entry.load.finished(now);
    auto const before = entry.breaker.state();
    if (ended.probe)
        --table_.pool_of(ended.runner).probes;
    // While a probe is in flight, only its result reflects the runner's present
    // state.
    if (before == circuit_state::half_open && !ended.probe)
        return;
    update_estimates(ended, result, took, now);
    handle_circuit_change(ended.runner, before, now);
}

double router::pool_slots(pool_id pool, time_point now) const
{
    auto const* const found = table_.find_pool(pool);
    if (found == nullptr)
        return 0.;
    double slots = 0.;
    for (auto index : found->usable.all)
    {
        auto const& entry = table_.at(index);
        slots += entry.info.slots * entry.ramp.share(now);
    }
    for (auto index : found->not_closed)
    {
        auto const& entry = table_.at(index);
        if (entry.breaker.probe_due(now) && !entry.leaving)
            slots += 1.;
    }
    return slots;
}

std::uint32_t router::in_flight(runner_id runner) const
{
    auto const index = table_.index_of(runner);
    return index == no_index ? 0 : table_.at(index).load.own_requests();
}

std::size_t router::index_bytes() const
{
    return prefixes_.bytes() + adapters_.bytes();
}

std::optional<runner_id>
router::choose_probe(pool_entry& pool, route_query const& query, time_point now)
{
    // A retry or a suspect must not be sent to a runner that may be broken.
    bool const may_probe =
        query.repeatable && query.exclude.empty() && !query.needs_empty_runner;
    auto const max_probes = 1 + pool.members.size() / runners_per_probe;
    if (!may_probe || pool.probes >= max_probes)
        return std::nullopt;
    for (auto index : pool.not_closed)
    {
        auto const& entry = table_.at(index);
        if (entry.breaker.probe_due(now) && !entry.leaving && !entry.reserved)
            return entry.info.id;
    }
    return std::nullopt;
}

runner_index router::choose_idle(candidates const& from) const
{
    runner_index best = no_index;
    for (auto index : from.usable())
    {
        if (table_.at(index).load.own_requests() != 0 || !from.allowed(index))
            continue;
        if (best == no_index || from.cost(index) < from.cost(best))
            best = index;
    }
    return best;
}

void router::find_matches(candidates& from, route_query const& query,
                          time_point now) const
{
    if (!query.prefix_blocks.empty())
    {
        prefix_matches found;
        prefixes_.find(query.prefix_blocks, now, found);
        copy_current(found.span(), false, from.prefixes);
    }
    if (query.adapter != 0)
    {
        prefix_matches found;
        adapters_.find({&query.adapter, 1}, now, found);
        copy_current(found.span(), true, from.adapters);
    }
}

void router::copy_current(absl::Span<prefix_match const> found, bool adapters,
                          prefix_matches& out) const
{
    for (auto const& it : found)
    {
        auto const& entry = table_.at(it.holder.runner);
        auto const generation =
            adapters ? entry.adapters_reported : entry.cache.generation();
        if (generation == it.holder.generation)
            out.add(it.holder, it.blocks);
    }
}

void router::record_cached(runner_index index, route_query const& query,
                           time_point now)
{
    auto const& entry = table_.at(index);
    if (!query.prefix_blocks.empty())
        prefixes_.add(query.prefix_blocks, {index, entry.cache.generation()},
                      now);
    if (query.adapter != 0)
        adapters_.add({&query.adapter, 1}, {index, entry.adapters_reported},
                      now);
}

void router::update_estimates(tracked_attempt const& ended,
                              attempt_result result, duration took,
                              time_point now)
{
    auto& entry = table_.at(ended.runner);
    double const elapsed = to_seconds(took);
    switch (result)
    {
    case attempt_result::completed:
        entry.latency += (elapsed - entry.latency) *
                         (entry.latency == 0. ? 1. : latency_ewma_weight);
        record_completion(ended.runner, ended.work, elapsed, now);
        break;
    case attempt_result::timed_out:
    {
        // A timeout after a short budget says nothing about the runner, one
        // after a long budget does.
        auto const& pool = table_.pool_of(ended.runner);
        bool const slow =
            entry.speed.is_slow(ended.work, elapsed, pool.mean_speed(),
                                settings_.breaker.slow_factor,
                                to_seconds(settings_.breaker.slow_margin));
        if (slow)
            record_completion(ended.runner, ended.work, elapsed, now);
        else if (ended.probe)
            entry.breaker.cancel_probe();
        break;
    }
    case attempt_result::not_started:
    case attempt_result::failed:
        entry.breaker.record_failure(settings_.breaker, now, random_);
        break;
    case attempt_result::cancelled:
        if (ended.probe)
            entry.breaker.cancel_probe();
        break;
    }
}

void router::record_completion(runner_index index, double work, double elapsed,
                               time_point now)
{
    auto& entry = table_.at(index);
    auto& pool = table_.pool_of(index);
    auto const& limits = settings_.breaker;
    bool const slow =
        entry.speed.is_slow(work, elapsed, pool.mean_speed(),
                            limits.slow_factor, to_seconds(limits.slow_margin));
    entry.speed.record_completion(work, elapsed);
    pool.decayed_work += (work - pool.decayed_work) * ewma_weight;
    pool.decayed_elapsed += (elapsed - pool.decayed_elapsed) * ewma_weight;
    if (slow)
    {
        entry.breaker.record_slow(limits, may_open_for_slowness(pool), now,
                                  random_);
        if (!entry.breaker.accepts_slowness(limits))
            return;
        entry.speed.adopt_recent_speed();
        entry.breaker.start_probe();
    }
    entry.speed.learn_long_term(work, elapsed);
    entry.breaker.record_success();
}

bool router::may_open_for_slowness(pool_entry const& pool) const
{
    std::size_t slow = 0;
    for (auto index : pool.not_closed)
        slow += table_.at(index).breaker.opened_by_slowness() ? 1 : 0;
    double const max_slow =
        settings_.max_slow_share * double(pool.members.size());
    return double(slow + 1) <= std::max(1., max_slow) &&
           pool.members.size() > 1;
}

void router::handle_circuit_change(runner_index index, circuit_state before,
                                   time_point now)
{
    auto& entry = table_.at(index);
    auto const after = entry.breaker.state();
    if (after == before)
        return;
    if (after == circuit_state::closed)
    {
        ++counters_.closed;
        entry.ramp.start(now, settings_.warm_up, settings_.warm_up_start);
    }
    else if (before != circuit_state::closed)
        ; // a probe failed or was lost; the circuit was open before
    else if (entry.breaker.opened_by_slowness())
        ++counters_.opened_by_slowness;
    else
        ++counters_.opened_by_failure;
    table_.rebuild(entry.info.pool);
}

} // namespace buckthornvale::decision::routing
