#include <buckthornvale/decision/admission/capacity_share.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <limits>
#include <map>

namespace buckthornvale::decision::admission
{

namespace
{

using rank_amounts = std::array<double, rank_count>;

//! Fraction of the unallocated slots that is divided evenly; the rest is
//! divided by demand. It gives a VM whose demand rises some capacity before its
//! next summary reaches the peers.
constexpr double even_spare_fraction = 0.5;

//! Factor on the guaranteed slots of a rank whose demand is within its
//! guaranteed share. Its demand limits its average use, but at one VM it comes
//! in bursts of several requests.
constexpr double burst_factor = 2.0;

//! Minimum of the guaranteed slots of an overloaded rank that a VM keeps,
//! relative to an even division. A VM with new demand can start with it; a
//! higher minimum would give more service to organisations that use many VMs.
constexpr double min_guaranteed_fraction = 0.25;

//! Served fraction of the demand from which a rank counts as fully served.
constexpr double fully_served_fraction = 0.999;

//! Demand of this VM (index 0) and of each fresh summary of its peers.
class fleet_demand
{
public:
    fleet_demand(absl::Span<pool_capacity const> pools,
                 demand_summary const& own, peer_view const& peers)
        : pools_(pools)
    {
        for (std::size_t i = 0; i < pools.size(); ++i)
            pool_indices_.emplace(pools[i].pool, i);
        vms_.push_back(&own);
        vms_.insert(vms_.end(), peers.fresh().begin(), peers.fresh().end());
        rates_.assign(pools.size() * vms_.size(), rank_amounts{});
        for (std::size_t vm = 0; vm < vms_.size(); ++vm)
            add_vm(vm);
    }

    std::size_t vm_count() const { return vms_.size(); }
    demand_summary const& vm(std::size_t n) const { return *vms_[n]; }
    rank_amounts& rate(std::size_t pool, std::size_t vm)
    {
        return rates_[pool * vms_.size() + vm];
    }

    rank_amounts total(std::size_t pool)
    {
        rank_amounts sum{};
        for (std::size_t vm = 0; vm < vms_.size(); ++vm)
        {
            for (std::size_t r = 0; r < rank_count; ++r)
                sum[r] += rate(pool, vm)[r];
        }
        return sum;
    }

    void scale(std::size_t vm, std::size_t r, double factor)
    {
        for (std::size_t pool = 0; pool < pools_.size(); ++pool)
            rate(pool, vm)[r] *= factor;
    }

private:
    void add_vm(std::size_t vm)
    {
        for (auto const& it : vms_[vm]->pools)
        {
            auto const found = pool_indices_.find(it.pool);
            if (found == pool_indices_.end())
                continue;
            std::copy(it.work_rate.begin(), it.work_rate.end(),
                      rate(found->second, vm).begin());
        }
    }

    absl::Span<pool_capacity const> pools_;
    absl::flat_hash_map<pool_id, std::size_t> pool_indices_;
    std::vector<demand_summary const*> vms_;
    std::vector<rank_amounts> rates_;
};

//! Fraction of the demand of each rank that the most contended pool can serve.
rank_amounts served_fractions(fleet_demand& demand,
                              absl::Span<pool_capacity const> pools,
                              double known_fraction, rank_table const& ranks)
{
    rank_amounts out;
    out.fill(1.0);
    for (std::size_t pool = 0; pool < pools.size(); ++pool)
    {
        auto const total = demand.total(pool);
        auto const allocated =
            allocate_ranks(total, pools[pool].slots * known_fraction, ranks);
        for (std::size_t r = 0; r < rank_count; ++r)
        {
            if (total[r] > 0.0)
                out[r] = std::min(out[r], allocated[r] / total[r]);
        }
    }
    return out;
}

//! Caps the demand of heavy organisations in one rank at their fair share, and
//! returns the fair level.
double cap_heavy_demand(fleet_demand& demand, std::size_t r, double served,
                        absl::FunctionRef<double(organisation_id)> weight_of)
{
    // Ordered, so that the sums and the decisions that follow from them are
    // reproducible.
    std::map<organisation_id, double> heavy;
    double total = 0.0;
    double listed = 0.0;
    for (std::size_t vm = 0; vm < demand.vm_count(); ++vm)
    {
        total += demand.vm(vm).cost_rate[r];
        for (auto const& it : demand.vm(vm).heaviest)
        {
            heavy[it.organisation] += it.cost_rate[r];
            listed += it.cost_rate[r];
        }
    }
    auto const unlisted = std::max(0.0, total - listed);
    auto const left_for_heavy = served * total - unlisted;
    if (left_for_heavy <= 0.0)
        return std::numeric_limits<double>::infinity();
    std::vector<weighted_demand> demands;
    demands.reserve(heavy.size());
    for (auto const& [id, rate] : heavy)
        demands.push_back({rate, weight_of(id)});
    auto const level = max_min_fair_level(std::move(demands), left_for_heavy);
    for (std::size_t vm = 0; vm < demand.vm_count(); ++vm)
    {
        double const offered = demand.vm(vm).cost_rate[r];
        double excess = 0.0;
        for (auto const& it : demand.vm(vm).heaviest)
        {
            auto const all = heavy[it.organisation];
            auto const fair = std::min(all, level * weight_of(it.organisation));
            if (all > 0.0)
                excess += it.cost_rate[r] * (1.0 - fair / all);
        }
        if (offered > 0.0)
            demand.scale(vm, r, std::max(0.0, 1.0 - excess / offered));
    }
    return level;
}

pool_share compute_own_share(fleet_demand& demand, std::size_t pool,
                             double slots, rank_amounts const& served,
                             double even_fraction, rank_table const& ranks)
{
    auto const total = demand.total(pool);
    auto const& own = demand.rate(pool, 0);
    auto const allocated = allocate_ranks(total, slots, ranks);
    pool_share out;
    double own_demand = 0.0;
    double total_demand = 0.0;
    double spare = slots;
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        auto const own_fraction =
            total[r] > 0.0 ? own[r] / total[r] : even_fraction;
        out.slots += allocated[r] * own_fraction;
        auto const guaranteed = ranks[r].guaranteed_share * slots;
        bool const within_guarantee =
            served[r] >= fully_served_fraction && total[r] < guaranteed;
        out.guaranteed[r] =
            guaranteed *
            (within_guarantee
                 ? burst_factor * std::max(own_fraction, even_fraction)
                 : std::max(own_fraction,
                            min_guaranteed_fraction * even_fraction));
        own_demand += own[r];
        total_demand += total[r];
        spare -= allocated[r];
    }
    auto const demand_fraction =
        total_demand > 0.0 ? own_demand / total_demand : even_fraction;
    out.slots +=
        std::max(0.0, spare) * (even_spare_fraction * even_fraction +
                                (1.0 - even_spare_fraction) * demand_fraction);
    return out;
}

} // namespace

capacity_division
divide_pools(absl::Span<pool_capacity const> pools, demand_summary const& own,
             peer_view const& peers, rank_table const& ranks,
             absl::FunctionRef<double(organisation_id)> weight_of)
{
    fleet_demand demand(pools, own, peers);
    auto const known_vms = static_cast<double>(peers.fresh_vms() + 1);
    auto const known_fraction =
        known_vms / static_cast<double>(peers.fleet_size());
    auto const served = served_fractions(demand, pools, known_fraction, ranks);
    capacity_division out;
    out.fair_level.fill(std::numeric_limits<double>::infinity());
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        if (served[r] < fully_served_fraction)
            out.fair_level[r] =
                cap_heavy_demand(demand, r, served[r], weight_of);
    }
    out.shares.reserve(pools.size());
    for (std::size_t pool = 0; pool < pools.size(); ++pool)
        out.shares.push_back(
            compute_own_share(demand, pool, pools[pool].slots * known_fraction,
                              served, 1.0 / known_vms, ranks));
    return out;
}

std::array<double, rank_count>
allocate_ranks(std::array<double, rank_count> const& demand, double slots,
               rank_table const& ranks)
{
    rank_amounts allocated{};
    double spare = slots;
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        allocated[r] = std::min(demand[r], ranks[r].guaranteed_share * slots);
        spare -= allocated[r];
    }
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        auto const extra =
            std::clamp(demand[r] - allocated[r], 0.0, std::max(spare, 0.0));
        allocated[r] += extra;
        spare -= extra;
    }
    return allocated;
}

double max_min_fair_level(std::vector<weighted_demand> demands, double total)
{
    std::sort(demands.begin(), demands.end(),
              [](auto const& a, auto const& b)
              { return a.demand * b.weight < b.demand * a.weight; });
    double weights = 0.0;
    for (auto const& it : demands)
        weights += it.weight;
    for (auto const& it : demands)
    {
        if (it.demand * weights > total * it.weight)
            return total / weights;
        total -= it.demand;
        weights -= it.weight;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace buckthornvale::decision::admission
