#ifndef BUCKTHORNVALE_DECISION_LEASES_POOL_ORDERS_HPP
#define BUCKTHORNVALE_DECISION_LEASES_POOL_ORDERS_HPP

#include <buckthornvale/decision/core/settings_model.hpp>
#include <buckthornvale/decision/leases/lease_keeper.hpp>
#include <buckthornvale/decision/leases/order_planner.hpp>

#include <absl/types/span.h>

#include <map>
#include <string>
#include <vector>

namespace buckthornvale::decision::leases
{

//! Lease and engine orders of one pool: the VM that holds the pool's lease
//! keeps the models warm that its pipelines use.
class pool_orders
{
public:
    pool_orders(std::string pool, vm_id self, std::uint64_t incarnation,
                std::uint64_t seed);

    std::string const& pool() const { return pool_; }

    //! Takes in the pool's settings. `warm_models` are used by a pipeline;
    //! `loads_per_second` is the weight store's rate.
    void configure(pool_settings const& pool,
                   absl::Span<std::string const> warm_models,
                   double loads_per_second);

    //! Whether this VM is one of those that try to hold the lease.
    void set_candidate(bool value, time_point now);

    //! An engine's report of what it holds.
    void update_engine(runner_id runner, absl::Span<std::string const> models,
                       double slots, bool leaving, time_point now);

    //! Slots of a model that are in use, over the fleet.
    void set_demand(std::uint64_t model, double slots, time_point now);

    //! Appends store calls and orders that are due.
    void tick(time_point now, std::vector<lease_effect>& calls,
              std::vector<engine_order>& orders);

    void handle_answer(lease_answer const& value, time_point now);
    void handle_order_failure(engine_order const& order)
    {
        planner_.handle_order_failure(order);
    }

    //! Name of a model by its hash; empty for an unknown one.
    std::string const& model_name(std::uint64_t model) const;

    bool holds() const { return keeper_.holds(); }

private:
    std::string pool_;
    lease_keeper keeper_;
    order_planner planner_;
    std::map<std::uint64_t, std::string> model_names_;
    std::map<runner_id, engine_state> engines_;
    bool has_models_ = false;
};

} // namespace buckthornvale::decision::leases

#endif
