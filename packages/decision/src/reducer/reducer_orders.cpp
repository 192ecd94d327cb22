#include <buckthornvale/decision/leases/lease_codec.hpp>
#include <buckthornvale/decision/reducer/reducer.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace buckthornvale::decision
{

namespace
{

// Number of VMs that try to hold the lease of a pool. It is limited so that the
// number of store calls for leases does not grow with the fleet.
constexpr std::size_t lease_candidates = 3;

constexpr duration orders_interval = std::chrono::milliseconds(250);

// How long after the lease check an order may still be sent. A successor's
// first order comes at least 7 s after the last successful check of the former
// holder.
constexpr duration order_validity = std::chrono::seconds(1);

} // namespace

void reducer::configure_pool_orders(pool_settings const& pool)
{
    auto const id = pool_id::of(pool.name);
    if (pool.kind != runner_kind::engine || pool.models.empty())
    {
        pool_orders_.erase(id);
        return;
    }
    auto const inserted = pool_orders_.try_emplace(
        id, pool.name, self_, settings_.incarnation, settings_.seed ^ id.value);
    std::vector<std::string> warm;
    for (auto const& it : settings_view_.settings().pipelines)
    {
        for (auto const& stage : it.second.stages)
        {
            if (stage.pool == pool.name && !stage.model.empty())
                warm.push_back(stage.model);
        }
    }
    inserted.first->second.configure(
        pool, warm, settings_view_.settings().fleet.weight_store_rate);
}

void reducer::tick_orders(time_point now, effects& out)
{
    if (pool_orders_.empty() || now < next_orders_at_)
        return;
    next_orders_at_ = now + orders_interval;
    std::vector<vm_id> live;
    for (auto const& it : membership_.live_entries())
        live.push_back(it.id);
    if (live.empty())
        live.push_back(self_);
    // The load balancer distributes requests evenly, so the demand of the fleet
    // is estimated as the demand on this VM times the number of VMs.
    auto const demand = request_flow_.attempts_by_model();
    for (auto& [id, orders] : pool_orders_)
    {
        orders.set_candidate(
            leases::is_candidate(self_, id, live, lease_candidates), now);
        for (auto const& [model, slots] : demand)
        {
            if (!orders.model_name(model).empty())
                orders.set_demand(
                    model, slots * static_cast<double>(live.size()), now);
        }
        std::vector<leases::lease_effect> calls;
        std::vector<leases::engine_order> due;
        orders.tick(now, calls, due);
        for (auto const& it : calls)
            emit_lease_call(orders, it, out);
        for (auto const& it : due)
        {
            auto const* const runner = settings_view_.runners().find(it.runner);
            if (runner == nullptr)
                continue;
            out.emplace_back(send_order{id, it, orders.model_name(it.model),
                                        runner->host, runner->port,
                                        order_validity});
            request_effects_.emplace_back(
                requests::event_counted{requests::counter::order_sent, 1.});
        }
    }
}

void reducer::emit_lease_call(leases::pool_orders const& orders,
                              leases::lease_effect const& call, effects& out)
{
    auto const path = absl::StrCat("leases/", orders.pool());
    if (auto const* const read = std::get_if<leases::read_lease>(&call))
        out.emplace_back(read_lease_object{read->pool, read->call, path});
    else if (auto const* const write = std::get_if<leases::write_lease>(&call))
    {
        out.emplace_back(write_lease_object{write->pool, write->call, path,
                                            write->expected_version,
                                            leases::encode(write->value)});
    }
}

void reducer::on(lease_call_answered const& value, time_point now, effects&)
{
    auto const it = pool_orders_.find(value.pool);
    if (it == pool_orders_.end())
        return;
    leases::lease_answer answer;
    answer.call = value.call;
    answer.status = value.status;
    answer.version = value.version;
    // An object that cannot be parsed counts as a free lease; the next write
    // replaces it.
    answer.value =
        leases::decode_lease(value.value).value_or(leases::lease_value{});
    bool const was_holding = it->second.holds();
    it->second.handle_answer(answer, now);
    if (was_holding != it->second.holds())
    {
        log(absl::StrCat("lease of pool ", it->second.pool(),
                         was_holding ? " lost" : " acquired"));
    }
}

void reducer::on(order_failed const& value, time_point, effects&)
{
    auto const it = pool_orders_.find(value.pool);
    if (it != pool_orders_.end())
        it->second.handle_order_failure(value.order);
}

} // namespace buckthornvale::decision
