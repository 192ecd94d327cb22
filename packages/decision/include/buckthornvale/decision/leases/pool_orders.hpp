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

//! Lease and engine orders of one pool. The VM that holds the lease keeps the
//! models loaded that the pipelines use.
class pool_orders
{
public:
    pool_orders(std::string pool, vm_id self, std::uint64_t incarnation,
                std::uint64_t seed);

    std::string const& pool() const { return pool_; }

    //! Applies the pool's settings. `warm_models` are the models that pipelines
    //! use; `loads_per_second` is the rate limit of the weight store.
    void configure(pool_settings const& pool,
                   absl::Span<std::string const> warm_models,
                   double loads_per_second);

    //! Sets whether this VM is one of those that try to hold the lease.
    void set_candidate(bool value, time_point now);

    //! Updates the state of an engine from its report.
    void update_engine(runner_id runner, absl::Span<std::string const> models,
                       double slots, bool leaving, time_point now);

    //! Sets the slots of a model that are needed, summed over the fleet.
    void set_demand(std::uint64_t model, double slots, time_point now);

    //! Appends the store calls and orders that are due.
    void tick(time_point now, std::vector<lease_effect>& calls,
              std::vector<engine_order>& orders);

    void handle_answer(lease_answer const& value, time_point now);
    void handle_order_failure(engine_order const& order)
    {
        planner_.handle_order_failure(order);
    }

    //! Name of the model with this hash; empty for an unknown model.
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
