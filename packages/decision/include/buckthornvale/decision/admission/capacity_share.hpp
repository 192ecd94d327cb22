#ifndef BUCKTHORNVALE_DECISION_ADMISSION_CAPACITY_SHARE_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_CAPACITY_SHARE_HPP

#include <buckthornvale/decision/admission/peer_view.hpp>
#include <buckthornvale/decision/admission/pool_backlog.hpp>
#include <buckthornvale/decision/core/settings_model.hpp>

#include <absl/functional/function_ref.h>
#include <absl/types/span.h>

#include <vector>

namespace buckthornvale::decision::admission
{

//! Usable slots of a pool over the whole fleet.
struct pool_capacity
{
    pool_id pool;
    double slots = 0.0;
};

//! Division of the capacity between VMs and ranks.
struct capacity_division
{
    std::vector<pool_share> shares; //!< of this VM, in the order of the pools
    //! Fair cost per second and unit of weight of an organisation over the
    //! whole fleet, by rank; infinite when the demand of the rank can be served
    //! in full.
    std::array<double, rank_count> fair_level{};
};

//! Divides each pool between the VMs by their demand.
//!
//! The slots of a pool are first allocated to the ranks: each rank gets its
//! demand up to its guaranteed share, and the rest goes to the most urgent
//! ranks first. The slots of a rank are then divided between the VMs in
//! proportion to their demand in that rank. The demand of a heavy organisation
//! counts only up to its fair share of a rank that cannot be served in full, so
//! that a VM gains no capacity through a heavy caller. Each VM whose summary is
//! stale keeps an equal share of the fleet's capacity.
capacity_division
divide_pools(absl::Span<pool_capacity const> pools, demand_summary const& own,
             peer_view const& peers, rank_table const& ranks,
             absl::FunctionRef<double(organisation_id)> weight_of);

//! Allocates slots to the ranks for a demand by rank; the demand is in slots as
//! well.
std::array<double, rank_count>
allocate_ranks(std::array<double, rank_count> const& demand, double slots,
               rank_table const& ranks);

//! Demand and weight of one organisation.
struct weighted_demand
{
    double demand = 0.0;
    double weight = 1.0;
};
//! Max-min fair level (water filling): the largest service per unit of weight
//! such that organisations with these demands, each served at most at this
//! level, use `total`. Infinite when all demands fit.
double max_min_fair_level(std::vector<weighted_demand> demands, double total);

} // namespace buckthornvale::decision::admission

#endif
