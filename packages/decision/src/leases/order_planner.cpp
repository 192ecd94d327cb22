#include <buckthornvale/decision/leases/order_planner.hpp>

#include <algorithm>

namespace buckthornvale::decision::leases
{

namespace
{

bool holds(engine_state const& engine, std::uint64_t model)
{
    auto const& models = engine.models;
    return std::find(models.begin(), models.end(), model) != models.end();
}

//! Slots that one of the engine's models can count on.
double share_of(engine_state const& engine)
{
    return engine.slots /
           double(std::max<std::size_t>(1, engine.models.size()));
}

} // namespace

order_planner::order_planner(planner_settings settings)
    : settings_(settings), bytes_(settings.burst_bytes)
{
}

void order_planner::set_engines(absl::Span<engine_state const> engines,
                                time_point now)
{
    engines_.assign(engines.begin(), engines.end());
    drop_settled(now);
    for (auto& it : models_)
        update_shortage(it.second, now);
}

void order_planner::set_models(absl::Span<model_need const> models)
{
    absl::flat_hash_map<std::uint64_t, model_state> kept;
    for (auto const& it : models)
    {
        auto& state = kept[it.model];
        auto const known = models_.find(it.model);
        if (known != models_.end())
            state = known->second;
        state.need = it;
    }
    models_ = std::move(kept);
}

void order_planner::set_demand(std::uint64_t model, double slots,
                               time_point now)
{
    auto const it = models_.find(model);
    if (it == models_.end())
        return;
    it->second.demand = slots;
    update_shortage(it->second, now);
}

std::optional<engine_order> order_planner::next(lease_keeper const& lease,
                                                time_point now)
{
    auto const fencing = lease.fencing_number(now);
    if (!fencing)
    {
        ++counters_.not_allowed;
        return std::nullopt;
    }
    drop_settled(now);
    auto const* const wanted = most_wanted(now);
    if (wanted == nullptr)
        return std::nullopt;
    auto order = plan_load(*wanted, now);
    if (!order)
        return std::nullopt;
    order->fencing = *fencing;
    note(*order, now);
    return order;
}

void order_planner::failed(engine_order const& order)
{
    auto const same = [&](pending_order const& it)
    {
        return it.order.runner == order.runner &&
               it.order.model == order.model && it.order.kind == order.kind;
    };
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(), same),
                   pending_.end());
}

order_planner::supply order_planner::supply_of(std::uint64_t model) const
{
    supply has;
    for (auto const& it : engines_)
    {
        if (it.leaving || !holds(it, model) || is_pending(it.runner, model))
            continue;
        ++has.copies;
        has.slots += share_of(it);
    }
    for (auto const& it : pending_)
    {
        bool const load = it.order.kind == order_kind::load;
        has.coming += load && it.order.model == model ? 1 : 0;
    }
    return has;
}

bool order_planner::wants_copy(model_state const& state, supply const& has,
                               time_point now) const
{
    if (has.coming > 0)
        return false; // one copy at a time; its effect is seen first
    if (has.copies == 0)
        return state.need.needed_warm || state.demand > 0.;
    return state.short_since && now - *state.short_since >= settings_.add_after;
}

order_planner::model_state* order_planner::most_wanted(time_point now)
{
    model_state* best = nullptr;
    double best_score = 0.;
    for (auto& it : models_)
    {
        auto const has = supply_of(it.first);
        if (!wants_copy(it.second, has, now))
            continue;
        // A model without any warm copy comes before all shortages.
        constexpr double no_copy = 1e9;
        double const missing = has.copies > 0               ? 0.
                               : it.second.need.needed_warm ? 2. * no_copy
                                                            : no_copy;
        double const score = missing + it.second.demand - has.slots;
        bool const first = best == nullptr || score > best_score ||
                           (score == best_score && it.first < best->need.model);
        if (!first)
            continue;
        best = &it.second;
        best_score = score;
    }
    return best;
}

std::optional<engine_order> order_planner::plan_load(model_state const& wanted,
                                                     time_point now)
{
    auto const model = wanted.need.model;
    auto const* const engine = free_engine(model);
    if (engine == nullptr)
        return plan_drop(model, now);
    if (!pay(wanted.need.weight_bytes, now))
    {
        ++counters_.paced;
        return std::nullopt;
    }
    return engine_order{engine->runner, order_kind::load, model, 0};
}

engine_state const* order_planner::free_engine(std::uint64_t model) const
{
    engine_state const* best = nullptr;
    double best_slots = 0.;
    for (auto const& it : engines_)
    {
        auto const used = it.models.size() + pending_loads(it.runner);
        bool const fits = !it.leaving && used < it.places;
        if (!fits || holds(it, model) || is_pending(it.runner, model))
            continue;
        double const slots = it.slots / double(used + 1);
        if (best != nullptr && slots <= best_slots)
            continue;
        best = &it;
        best_slots = slots;
    }
    return best;
}

std::optional<engine_order> order_planner::plan_drop(std::uint64_t wanted,
                                                     time_point now)
{
    // One drop at a time makes room for one load.
    auto const is_drop = [](pending_order const& it)
    { return it.order.kind == order_kind::unload; };
    if (std::any_of(pending_.begin(), pending_.end(), is_drop))
        return std::nullopt;
    for (auto const& engine : engines_)
    {
        if (engine.leaving || holds(engine, wanted))
            continue;
        for (auto model : engine.models)
        {
            if (may_drop(engine, model, now))
                return engine_order{engine.runner, order_kind::unload, model,
                                    0};
        }
    }
    return std::nullopt;
}

bool order_planner::may_drop(engine_state const& engine, std::uint64_t model,
                             time_point now)
{
    if (is_pending(engine.runner, model))
        return false;
    auto const it = models_.find(model);
    if (it == models_.end())
        return true; // no pipeline uses it any more
    auto const loaded = loaded_.find(model);
    if (loaded != loaded_.end() && now - loaded->second < settings_.least_stay)
        return false;
    auto const has = supply_of(model);
    bool const last = has.copies <= 1;
    if (last && it->second.need.needed_warm)
    {
        ++counters_.kept_last;
        return false;
    }
    double const rest = has.slots - share_of(engine);
    return it->second.demand <= settings_.drop_below * rest;
}

bool order_planner::is_pending(runner_id runner, std::uint64_t model) const
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [&](pending_order const& it) {
                           return it.order.runner == runner &&
                                  it.order.model == model;
                       });
}

std::size_t order_planner::pending_loads(runner_id runner) const
{
    std::size_t n = 0;
    for (auto const& it : pending_)
    {
        bool const load = it.order.kind == order_kind::load;
        n += load && it.order.runner == runner ? 1 : 0;
    }
    return n;
}

void order_planner::drop_settled(time_point now)
{
    auto const settled = [&](pending_order const& it)
    {
        if (now - it.sent >= settings_.repeat_after)
            return true;
        for (auto const& engine : engines_)
        {
            if (engine.runner == it.order.runner)
                return holds(engine, it.order.model) ==
                       (it.order.kind == order_kind::load);
        }
        return true; // the engine is gone
    };
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(), settled),
                   pending_.end());
}

void order_planner::update_shortage(model_state& state, time_point now) const
{
    auto const has = supply_of(state.need.model);
    bool const is_short = state.demand > settings_.add_above * has.slots;
    if (!is_short)
        state.short_since.reset();
    else if (!state.short_since)
        state.short_since = now;
}

bool order_planner::pay(double bytes, time_point now)
{
    double const earned =
        settings_.weight_bytes_per_s * to_seconds(now - paid_);
    bytes_ = std::min(settings_.burst_bytes, bytes_ + earned);
    paid_ = now;
    // A model larger than the burst is loaded from a full budget and leaves a
    // debt, or it would never be loaded.
    if (bytes_ < std::min(bytes, settings_.burst_bytes))
        return false;
    bytes_ -= bytes;
    return true;
}

void order_planner::note(engine_order const& order, time_point now)
{
    pending_.push_back({order, now});
    if (order.kind == order_kind::unload)
    {
        ++counters_.unloads;
        return;
    }
    ++counters_.loads;
    loaded_[order.model] = now;
}

} // namespace buckthornvale::decision::leases
