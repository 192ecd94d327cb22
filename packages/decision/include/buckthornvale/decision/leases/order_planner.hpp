#ifndef BUCKTHORNVALE_DECISION_LEASES_ORDER_PLANNER_HPP
#define BUCKTHORNVALE_DECISION_LEASES_ORDER_PLANNER_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/leases/lease_keeper.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornvale::decision::leases
{

//! Last reported state of one engine.
struct engine_state
{
    runner_id runner;
    std::vector<std::uint64_t> models; //!< loaded and warm
    std::size_t model_capacity = 1;    //!< maximum number of loaded models
    double slots = 1.0;
    bool leaving = false;
};

//! A model that the pool may be asked to serve.
struct model_requirement
{
    std::uint64_t model = 0;
    double weight_bytes = 0.;
    //! A pipeline uses the model, so the last warm copy is never unloaded.
    bool keep_warm = false;
};

enum class order_kind
{
    load,
    unload
};

//! Desired state of one model on one engine. Orders are idempotent.
struct engine_order
{
    runner_id runner;
    order_kind kind = order_kind::load;
    std::uint64_t model = 0;
    std::uint64_t fencing_token = 0; //!< version of the lease object
};

struct planner_settings
{
    //! A copy is added when demand exceeds this share of the model's slots
    //! for at least `scale_up_delay`.
    double scale_up_utilisation = 0.8;
    duration scale_up_delay = std::chrono::seconds(5);
    //! A copy may be unloaded only when demand is at most this share of the
    //! slots that remain. The gap between the two shares prevents flapping.
    double unload_utilisation = 0.4;
    //! A copy is not unloaded until this long after the last load of its model.
    duration min_residency = std::chrono::minutes(1);
    //! Token bucket for the weight store: refill rate and capacity.
    double weight_bytes_per_s = 1e9;
    double burst_bytes = 20e9;
    //! An order without visible effect may be repeated after this time.
    duration order_timeout = std::chrono::minutes(2);
};

struct planner_counters
{
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t rate_limited = 0;   //!< loads delayed
    std::uint64_t last_copy_kept = 0; //!< unloads refused
    std::uint64_t without_lease = 0; //!< calls of `next` without a usable lease
};

//! Plans which models the engines of a pool hold. A model is unloaded only when
//! another model needs its place, so unused copies stay warm until then.
class order_planner
{
public:
    explicit order_planner(planner_settings settings = {});

    //! Replaces the known states of the pool's engines.
    void set_engines(absl::Span<engine_state const> engines, time_point now);

    void set_models(absl::Span<model_requirement const> models);

    //! Sets the slots of the model that are needed, summed over the fleet.
    void set_demand(std::uint64_t model, double slots, time_point now);

    //! Returns the next order after checking the lease at `now`; empty when
    //! there is nothing to do. The caller must send it immediately and call
    //! again with a new time.
    std::optional<engine_order> next(lease_keeper const& lease, time_point now);

    //! Forgets an order that an engine refused or did not answer, so that it
    //! may be planned again.
    void handle_order_failure(engine_order const& order);

    planner_counters const& counters() const { return counters_; }

private:
    struct model_state
    {
        model_requirement requirement;
        double demand = 0.;
        std::optional<time_point> short_since;
    };

    struct pending_order
    {
        engine_order order;
        time_point sent;
    };

    struct supply
    {
        double slots = 0.;
        std::size_t warm_copies = 0; //!< without those on leaving engines and
                                     //!< those with a pending order
        std::size_t pending_copies = 0; //!< loads that are pending
    };

    supply supply_of(std::uint64_t model) const;
    bool needs_copy(model_state const& state, supply const& available,
                    time_point now) const;
    model_state* neediest_model(time_point now);
    std::optional<engine_order> plan_load(model_state const& wanted,
                                          time_point now);
    engine_state const* engine_with_room(std::uint64_t model) const;
    std::optional<engine_order> plan_unload(std::uint64_t wanted,
                                            time_point now);
    bool may_unload(engine_state const& engine, std::uint64_t model,
                    time_point now);
    bool has_pending_order(runner_id runner, std::uint64_t model) const;
    std::size_t pending_loads(runner_id runner) const;
    void remove_settled_orders(time_point now);
    void update_shortage(model_state& state, time_point now) const;
    bool spend_weight_bytes(double bytes, time_point now);
    void record_order(engine_order const& order, time_point now);

    planner_settings settings_;
    std::vector<engine_state> engines_;
    absl::flat_hash_map<std::uint64_t, model_state> models_;
    absl::flat_hash_map<std::uint64_t, time_point> last_loaded_;
    std::vector<pending_order> pending_;
    double available_bytes_ = 0.; //!< level of the token bucket
    time_point available_bytes_at_{};
    planner_counters counters_;
};

} // namespace buckthornvale::decision::leases

#endif
