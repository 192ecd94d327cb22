#include <buckthornvale/decision/leases/pool_orders.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::leases
{

namespace
{

// The planner limits loads by bytes. Every model counts as one unit here,
// because the rate of the weight store is configured in loads per second.
constexpr double units_per_load = 1.;

// Capacity of the token bucket, in loads.
constexpr double burst_loads = 2.;

// Lower bound of an engine's model capacity, which is otherwise the number of
// models in the pool's settings.
constexpr std::size_t min_model_capacity = 1;

// Further orders are sent in the next ticks.
constexpr std::size_t max_orders_per_tick = 4;

planner_settings planner_settings_for(double loads_per_second)
{
    planner_settings settings;
    settings.weight_bytes_per_s = loads_per_second * units_per_load;
    settings.burst_bytes = burst_loads * units_per_load;
    return settings;
}

} // namespace

pool_orders::pool_orders(std::string pool, vm_id self,
                         std::uint64_t incarnation, std::uint64_t seed)
    : pool_(std::move(pool)),
      keeper_(pool_id::of(pool_), self, incarnation, seed)
{
}

void pool_orders::configure(pool_settings const& pool,
                            absl::Span<std::string const> warm_models,
                            double loads_per_second)
{
    planner_ = order_planner(planner_settings_for(loads_per_second));
    model_names_.clear();
    std::vector<model_requirement> requirements;
    for (auto const& it : pool.models)
    {
        auto const hash = stable_hash(it);
        bool const warm = std::find(warm_models.begin(), warm_models.end(),
                                    it) != warm_models.end();
        model_names_[hash] = it;
        requirements.push_back({hash, units_per_load, warm});
    }
    planner_.set_models(requirements);
    has_models_ = !requirements.empty();
    auto const is_configured = [&](runner_id id)
    {
        return std::any_of(pool.runners.begin(), pool.runners.end(),
                           [&](runner_settings const& it)
                           { return runner_id::of(it.name) == id; });
    };
    for (auto it = engines_.begin(); it != engines_.end();)
        it = is_configured(it->first) ? std::next(it) : engines_.erase(it);
}

void pool_orders::set_candidate(bool value, time_point now)
{
    keeper_.set_wanted(value && has_models_, now);
}

void pool_orders::update_engine(runner_id runner,
                                absl::Span<std::string const> models,
                                double slots, bool leaving, time_point now)
{
    engine_state engine;
    engine.runner = runner;
    for (auto const& it : models)
        engine.models.push_back(stable_hash(it));
    engine.model_capacity = std::max(model_names_.size(), min_model_capacity);
    engine.slots = slots;
    engine.leaving = leaving;
    engines_[runner] = std::move(engine);
    std::vector<engine_state> all;
    for (auto const& it : engines_)
        all.push_back(it.second);
    planner_.set_engines(all, now);
}

void pool_orders::set_demand(std::uint64_t model, double slots, time_point now)
{
    planner_.set_demand(model, slots, now);
}

void pool_orders::tick(time_point now, std::vector<lease_effect>& calls,
                       std::vector<engine_order>& orders)
{
    keeper_.tick(now, calls);
    if (!keeper_.may_send_orders(now))
        return;
    for (std::size_t n = 0; n < max_orders_per_tick; ++n)
    {
        auto const order = planner_.next(keeper_, now);
        if (!order)
            return;
        orders.push_back(*order);
    }
}

void pool_orders::handle_answer(lease_answer const& value, time_point now)
{
    keeper_.handle_answer(value, now);
}

std::string const& pool_orders::model_name(std::uint64_t model) const
{
    static std::string const unknown_model;
    auto const it = model_names_.find(model);
    return it == model_names_.end() ? unknown_model : it->second;
}

} // namespace buckthornvale::decision::leases
