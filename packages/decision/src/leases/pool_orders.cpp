#include <buckthornvale/decision/leases/pool_orders.hpp>

#include <algorithm>
#include <utility>

namespace buckthornvale::decision::leases
{

namespace
{

// The planner paces by bytes; every model counts as one unit here, because
// the weight store's rate is given in loads.
constexpr double units_per_load = 1.;

// Loads that may follow each other at once after a quiet time.
constexpr double burst_loads = 2.;

// An engine keeps at least this many models when its settings name more.
constexpr std::size_t min_places = 1;

// Orders of one tick; the rest follows with the next.
constexpr std::size_t max_orders_per_tick = 4;

planner_settings paced_by(double loads_per_second)
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
    planner_ = order_planner(paced_by(loads_per_second));
    names_.clear();
    std::vector<model_need> needs;
    for (auto const& it : pool.models)
    {
        auto const hash = stable_hash(it);
        bool const warm = std::find(warm_models.begin(), warm_models.end(),
                                    it) != warm_models.end();
        names_[hash] = it;
        needs.push_back({hash, units_per_load, warm});
    }
    planner_.set_models(needs);
    has_models_ = !needs.empty();
    auto const listed = [&](runner_id id)
    {
        return std::any_of(pool.runners.begin(), pool.runners.end(),
                           [&](runner_settings const& it)
                           { return runner_id::of(it.name) == id; });
    };
    for (auto it = engines_.begin(); it != engines_.end();)
        it = listed(it->first) ? std::next(it) : engines_.erase(it);
}

void pool_orders::set_candidate(bool value, time_point now)
{
    keeper_.want(value && has_models_, now);
}

void pool_orders::report(runner_id runner, absl::Span<std::string const> models,
                         double slots, bool leaving, time_point now)
{
    engine_state engine;
    engine.runner = runner;
    for (auto const& it : models)
        engine.models.push_back(stable_hash(it));
    engine.places = std::max(names_.size(), min_places);
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
    if (!keeper_.may_order(now))
        return;
    for (std::size_t n = 0; n < max_orders_per_tick; ++n)
    {
        auto const order = planner_.next(keeper_, now);
        if (!order)
            return;
        orders.push_back(*order);
    }
}

void pool_orders::answer(lease_answer const& value, time_point now)
{
    keeper_.answer(value, now);
}

std::string const& pool_orders::name_of(std::uint64_t model) const
{
    static std::string const none;
    auto const it = names_.find(model);
    return it == names_.end() ? none : it->second;
}

} // namespace buckthornvale::decision::leases
