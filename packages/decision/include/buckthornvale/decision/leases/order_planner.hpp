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

//! One engine as it reports itself.
struct engine_state
{
    runner_id runner;
    std::vector<std::uint64_t> models; //!< loaded and warm
    std::size_t model_capacity = 1;    //!< models that fit at once
    double slots = 1.0;
    bool leaving = false;
};

//! A model that the pool's pipelines use.
struct model_requirement
{
    std::uint64_t model = 0;
    double weight_bytes = 0.;
    //! A rank with a latency target uses it, so a warm copy always stays.
    bool keep_warm = false;
};

enum class order_kind
{
    load,
    unload
};

//! Desired state of one model on one engine; repeating it changes nothing.
struct engine_order
{
    runner_id runner;
    order_kind kind = order_kind::load;
    std::uint64_t model = 0;
    std::uint64_t fencing = 0; //!< version of the lease object
};

struct planner_settings
{
    //! Copies are added when demand passes this share of the model's slots...
    double scale_up_utilisation = 0.8;
    //! ...for this long.
    duration scale_up_delay = std::chrono::seconds(5);
    //! A copy may go only when demand stays below this share of the slots
    //! that remain; the gap between the two shares prevents flapping.
    double unload_utilisation = 0.4;
    //! No copy goes sooner than this after its model was loaded.
    duration min_residency = std::chrono::minutes(1);
    //! Weight store's rate, and the most that is saved up.
    double weight_bytes_per_s = 1e9;
    double burst_bytes = 20e9;
    //! An order that shows no effect is repeated after this time.
    duration order_timeout = std::chrono::minutes(2);
};

struct planner_counters
{
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t rate_limited =
        0; //!< loads put off by the weight store's rate
    std::uint64_t last_copy_kept = 0; //!< drops refused for a last warm copy
    std::uint64_t without_lease = 0;  //!< asked without the right to order
};

//! Plans which models a pool's engines hold. Places are emptied only when
//! another model needs them, so an unused copy stays warm while it costs
//! nothing.
class order_planner
{
public:
    explicit order_planner(planner_settings settings = {});

    //! Replaces what is known of the pool's engines.
    void set_engines(absl::Span<engine_state const> engines, time_point now);

    void set_models(absl::Span<model_requirement const> models);

    //! Slots of the model in use or wanted, over the fleet.
    void set_demand(std::uint64_t model, double slots, time_point now);

    //! The next order, with the lease checked at `now`; empty when nothing is
    //! to be done. The shell sends it at once and asks again with a new time.
    std::optional<engine_order> next(lease_keeper const& lease, time_point now);

    //! An engine refused or did not answer an order; it may be planned again.
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
        std::size_t warm_copies = 0; //!< warm, and not leaving or being dropped
        std::size_t pending_copies = 0; //!< ordered
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
    absl::flat_hash_map<std::uint64_t, time_point> last_loaded_; //!< last load
    std::vector<pending_order> pending_;
    double available_bytes_ = 0.; //!< weight bytes that may be loaded now
    time_point available_bytes_at_{};
    planner_counters counters_;
};

} // namespace buckthornvale::decision::leases

#endif
