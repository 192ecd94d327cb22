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

//! Usable slots of a pool over the fleet.
struct pool_capacity
{
    pool_id pool;
    double slots = 0.0;
};

//! How capacity is divided at present.
struct capacity_division
{
    std::vector<pool_share> shares; //!< of this VM, in the order of the pools
    //! Fair cost per second and weight of an organisation over the fleet, by
    //! rank; infinite when the rank's demand can be served in full.
    std::array<double, rank_count> fair_level{};
};

//! Divides each pool between the VMs by their demand.
//!
//! The fleet's demand for a pool is first given to the ranks: each gets up to
//! its guaranteed share, then the most urgent go first. A VM gets, of each
//! rank's slots, the part that its demand is of the rank's demand. Demand of
//! heavy organisations counts only up to their fair part of a rank that cannot
//! be served in full, so that a VM does not gain by a heavy caller. Each stale
//! VM keeps one part of the fleet's size.
capacity_division
divide_pools(absl::Span<pool_capacity const> pools, demand_summary const& own,
             peer_view const& peers, rank_table const& ranks,
             absl::FunctionRef<double(organisation_id)> weight_of);

//! Slots by rank for a demand by rank, both in slots.
std::array<double, rank_count>
allocate_ranks(std::array<double, rank_count> const& demand, double slots,
               rank_table const& ranks);

//! The largest service per weight such that organisations with these demands,
//! each served at most that much, use `total`; infinite when all fit.
struct weighted_demand
{
    double demand = 0.0;
    double weight = 1.0;
};
double water_level(std::vector<weighted_demand> demands, double total);

} // namespace buckthornvale::decision::admission

#endif
