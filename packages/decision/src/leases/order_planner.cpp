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

//! Share of the engine's slots available to each of its models.
double slots_per_model(engine_state const& engine)
{
    return engine.slots /
           double(std::max<std::size_t>(1, engine.models.size()));
}

} // namespace

order_planner::order_planner(planner_settings settings)
    : settings_(settings), available_bytes_(settings.burst_bytes)
{
}

void order_planner::set_engines(absl::Span<engine_state const> engines,
                                time_point now)
{
    engines_.assign(engines.begin(), engines.end());
    remove_settled_orders(now);
    for (auto& it : models_)
        update_shortage(it.second, now);
}

void order_planner::set_models(absl::Span<model_requirement const> models)
{
    absl::flat_hash_map<std::uint64_t, model_state> kept;
    for (auto const& it : models)
    {
        auto& state = kept[it.model];
        auto const known = models_.find(it.model);
        if (known != models_.end())
            state = known->second;
        state.requirement = it;
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
    auto const fencing = lease.fencing_token(now);
    if (!fencing)
    {
        ++counters_.without_lease;
        return std::nullopt;
    }
    remove_settled_orders(now);
    auto const* const wanted = neediest_model(now);
    if (wanted == nullptr)
        return std::nullopt;
    auto order = plan_load(*wanted, now);
    if (!order)
        return std::nullopt;
    order->fencing_token = *fencing;
    record_order(*order, now);
    return order;
}

void order_planner::handle_order_failure(engine_order const& order)
{
    auto const is_same_order = [&](pending_order const& it)
    {
        return it.order.runner == order.runner &&
               it.order.model == order.model && it.order.kind == order.kind;
    };
    pending_.erase(
        std::remove_if(pending_.begin(), pending_.end(), is_same_order),
        pending_.end());
}

order_planner::supply order_planner::supply_of(std::uint64_t model) const
{
    supply available;
    for (auto const& it : engines_)
    {
        if (it.leaving || !holds(it, model) ||
            has_pending_order(it.runner, model))
            continue;
        ++available.warm_copies;
        available.slots += slots_per_model(it);
    }
    for (auto const& it : pending_)
    {
        bool const is_load = it.order.kind == order_kind::load;
        available.pending_copies += is_load && it.order.model == model ? 1 : 0;
    }
    return available;
}

bool order_planner::needs_copy(model_state const& state,
                               supply const& available, time_point now) const
{
    if (available.pending_copies > 0)
        return false; // wait for the effect of the pending load
    if (available.warm_copies == 0)
        return state.requirement.keep_warm || state.demand > 0.;
    return state.short_since &&
           now - *state.short_since >= settings_.scale_up_delay;
}

order_planner::model_state* order_planner::neediest_model(time_point now)
{
    model_state* best = nullptr;
    double best_score = 0.;
    for (auto& it : models_)
    {
        auto const available = supply_of(it.first);
        if (!needs_copy(it.second, available, now))
            continue;
        // A model without any warm copy takes precedence over all shortages.
        constexpr double no_copy_score = 1e9;
        double const missing_copy_score = available.warm_copies > 0 ? 0.
                                          : it.second.requirement.keep_warm
                                              ? 2. * no_copy_score
                                              : no_copy_score;
        double const score =
            missing_copy_score + it.second.demand - available.slots;
        bool const is_better =
            best == nullptr || score > best_score ||
            (score == best_score && it.first < best->requirement.model);
        if (!is_better)
            continue;
        best = &it.second;
        best_score = score;
    }
    return best;
}

std::optional<engine_order> order_planner::plan_load(model_state const& wanted,
                                                     time_point now)
{
    auto const model = wanted.requirement.model;
    auto const* const engine = engine_with_room(model);
    if (engine == nullptr)
        return plan_unload(model, now);
    if (!spend_weight_bytes(wanted.requirement.weight_bytes, now))
    {
        ++counters_.rate_limited;
        return std::nullopt;
    }
    return engine_order{engine->runner, order_kind::load, model, 0};
}

engine_state const* order_planner::engine_with_room(std::uint64_t model) const
{
    engine_state const* best = nullptr;
    double best_slots = 0.;
    for (auto const& it : engines_)
    {
        auto const models_held = it.models.size() + pending_loads(it.runner);
        bool const fits = !it.leaving && models_held < it.model_capacity;
        if (!fits || holds(it, model) || has_pending_order(it.runner, model))
            continue;
        double const slots = it.slots / double(models_held + 1);
        if (best != nullptr && slots <= best_slots)
            continue;
        best = &it;
        best_slots = slots;
    }
    return best;
}

std::optional<engine_order> order_planner::plan_unload(std::uint64_t wanted,
                                                       time_point now)
{
    // One unload at a time: each one makes room for a single load.
    auto const is_unload = [](pending_order const& it)
    { return it.order.kind == order_kind::unload; };
    if (std::any_of(pending_.begin(), pending_.end(), is_unload))
        return std::nullopt;
    for (auto const& engine : engines_)
    {
        if (engine.leaving || holds(engine, wanted))
            continue;
        for (auto model : engine.models)
        {
            if (may_unload(engine, model, now))
                return engine_order{engine.runner, order_kind::unload, model,
                                    0};
        }
    }
    return std::nullopt;
}

bool order_planner::may_unload(engine_state const& engine, std::uint64_t model,
                               time_point now)
{
    if (has_pending_order(engine.runner, model))
        return false;
    auto const it = models_.find(model);
    if (it == models_.end())
        return true; // the model is no longer in the settings
    auto const loaded = last_loaded_.find(model);
    if (loaded != last_loaded_.end() &&
        now - loaded->second < settings_.min_residency)
        return false;
    auto const available = supply_of(model);
    bool const is_last_copy = available.warm_copies <= 1;
    if (is_last_copy && it->second.requirement.keep_warm)
    {
        ++counters_.last_copy_kept;
        return false;
    }
    double const remaining_slots = available.slots - slots_per_model(engine);
    return it->second.demand <= settings_.unload_utilisation * remaining_slots;
}

bool order_planner::has_pending_order(runner_id runner,
                                      std::uint64_t model) const
{
    return std::any_of(pending_.begin(), pending_.end(),
                       [&](pending_order const& it) {
                           return it.order.runner == runner &&
                                  it.order.model == model;
                       });
}

std::size_t order_planner::pending_loads(runner_id runner) const
{
    std::size_t count = 0;
    for (auto const& it : pending_)
    {
        bool const is_load = it.order.kind == order_kind::load;
        count += is_load && it.order.runner == runner ? 1 : 0;
    }
    return count;
}

void order_planner::remove_settled_orders(time_point now)
{
    auto const settled = [&](pending_order const& it)
    {
        if (now - it.sent >= settings_.order_timeout)
            return true;
        for (auto const& engine : engines_)
        {
            if (engine.runner == it.order.runner)
                return holds(engine, it.order.model) ==
                       (it.order.kind == order_kind::load);
        }
        return true; // the engine is no longer known
    };
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(), settled),
                   pending_.end());
}

void order_planner::update_shortage(model_state& state, time_point now) const
{
    auto const available = supply_of(state.requirement.model);
    bool const has_shortage =
        state.demand > settings_.scale_up_utilisation * available.slots;
    if (!has_shortage)
        state.short_since.reset();
    else if (!state.short_since)
        state.short_since = now;
}

bool order_planner::spend_weight_bytes(double bytes, time_point now)
{
    double const earned_bytes =
        settings_.weight_bytes_per_s * to_seconds(now - available_bytes_at_);
    available_bytes_ =
        std::min(settings_.burst_bytes, available_bytes_ + earned_bytes);
    available_bytes_at_ = now;
    // A model larger than the bucket is loaded when the bucket is full, which
    // leaves a negative level; otherwise it could never be loaded.
    if (available_bytes_ < std::min(bytes, settings_.burst_bytes))
        return false;
    available_bytes_ -= bytes;
    return true;
}

void order_planner::record_order(engine_order const& order, time_point now)
{
    pending_.push_back({order, now});
    if (order.kind == order_kind::unload)
    {
        ++counters_.unloads;
        return;
    }
    ++counters_.loads;
    last_loaded_[order.model] = now;
}

} // namespace buckthornvale::decision::leases
