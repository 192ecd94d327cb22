#include <buckthornvale/decision/routing/candidates.hpp>

#include <algorithm>
#include <cmath>

namespace buckthornvale::decision::routing
{

namespace
{

//! Time without progress is penalised beyond this multiple of the mean request
//! time.
constexpr double stall_threshold = 3.0;
//! The cost of another failure domain is significant above this share of the
//! work.
constexpr double min_remote_share = 0.02;

index_group const& group_for_model(pool_entry const& pool, std::uint64_t model)
{
    if (model == 0)
        return pool.usable;
    auto const it = pool.by_model.find(model);
    // If no runner reports the model, any runner may have to load it.
    if (it == pool.by_model.end() || it->second.all.empty())
        return pool.usable;
    return it->second;
}

} // namespace

candidates::candidates(routing_settings const& settings,
                       runner_table const& table, pool_entry const& pool,
                       route_query const& query, double correlated_peers,
                       time_point now)
    : settings_(settings), table_(table), pool_(pool), query_(query),
      now_(now), load_assumptions_{pool.mean_other_requests(),
                                   settings.report_fresh_age, correlated_peers},
      mean_speed_(pool.mean_speed()),
      own_work_(query.expected_work > duration::zero()
                    ? to_seconds(query.expected_work)
                    : pool.mean_work),
      saved_per_block_(to_seconds(settings.prefix.saved_per_block)),
      remote_cost_(to_seconds(settings.remote_cost))
{
    auto const& group = group_for_model(pool, query.model);
    usable_ = group.all;
    local_ = group.local(query.local_domain);
}

bool candidates::prefers_local() const
{
    return remote_cost_ > min_remote_share * own_work_;
}

bool candidates::allowed(runner_index index) const
{
    auto const id = table_.at(index).info.id;
    return std::find(query_.exclude.begin(), query_.exclude.end(), id) ==
           query_.exclude.end();
}

bool candidates::is_live(prefix_match const& match) const
{
    auto const& entry = table_.at(match.holder.runner);
    return entry.listed && !entry.leaving && !entry.reserved &&
           entry.info.pool == query_.pool &&
           entry.breaker.state() == circuit_state::closed;
}

double candidates::cost(runner_index index) const
{
    auto const& entry = table_.at(index);
    double const speed =
        entry.speed.recent(mean_speed_) * entry.ramp.share(now_);
    double const remote =
        entry.info.domain == query_.local_domain ? 0. : remote_cost_;
    double const cache_bonus =
        (settings_.prefix.hit_weight - 1.) * cache_saving(index, own_work_);
    // The square root gives slower runners more work than the shortest time of
    // this attempt alone would: all VMs prefer the same fast runners, whose
    // queues grow before any report shows it.
    return (work(index) - cache_bonus) / std::sqrt(speed) + remote +
           stall_penalty(entry);
}

double candidates::work(runner_index index) const
{
    auto const& entry = table_.at(index);
    double const own =
        own_work_ - cache_saving(index, own_work_) + adapter_cost(index);
    return requests_ahead(entry) * pool_.mean_work + own;
}

double candidates::load(runner_index index) const
{
    auto const& entry = table_.at(index);
    return entry.load.total(now_, load_assumptions_) /
           std::max(1., entry.info.slots);
}

double candidates::own_load(runner_index index) const
{
    auto const& entry = table_.at(index);
    return double(entry.load.own_requests()) / std::max(1., entry.info.slots);
}

double candidates::latency(runner_index index) const
{
    return table_.at(index).latency;
}

double candidates::cache_saving(runner_index index, double work) const
{
    auto const blocks = prefixes.blocks_of(index);
    if (blocks == 0)
        return 0.;
    auto const trust = table_.at(index).cache.trust();
    double const whole = double(blocks) * saved_per_block_;
    return std::min(whole, work * settings_.prefix.max_saving_share) * trust;
}

double candidates::adapter_cost(runner_index index) const
{
    if (query_.adapter == 0 || adapters.blocks_of(index) != 0)
        return 0.;
    return to_seconds(settings_.adapter_load);
}

double candidates::requests_ahead(runner_entry const& entry) const
{
    double const slots = std::max(1., entry.info.slots);
    double const total = entry.load.total(now_, load_assumptions_);
    // Approximates the mean of max(0, over) for an estimate that is off by
    // about the square root of the request count. A value of zero up to the
    // last slot would send all VMs to the same nearly full runner.
    double const over = total + 1. - slots;
    return 0.5 * (over + std::sqrt(over * over + total + 1.)) / slots;
}

double candidates::stall_penalty(runner_entry const& entry) const
{
    if (entry.load.own_requests() == 0)
        return 0.;
    double const since = to_seconds(now_ - entry.load.last_progress());
    double const usual = pool_.mean_work / entry.speed.long_term(mean_speed_);
    return std::max(0., since - stall_threshold * usual);
}

} // namespace buckthornvale::decision::routing
