#ifndef BUCKTHORNVALE_CTL_BURN_BURN_PLOTS_HPP
#define BUCKTHORNVALE_CTL_BURN_BURN_PLOTS_HPP

#include <buckthornvale/ctl/burn/burn_report.hpp>

#include <string>

namespace buckthornvale::ctl
{

// Plots of the HTML page. Each function returns one SVG element.

//! Burn of each rank in each window. A line marks a burn of 1, which uses up
//! the error budget exactly.
std::string plot_burn(burn_report const& report);

//! Attainment of each rank over time, with its objective.
std::string plot_attainment(burn_report const& report);

//! Share of runner time of each rank over time, with the guaranteed shares.
std::string plot_shares(burn_report const& report);

//! Runner time of each stage by rank, and the part of it that was wasted.
std::string plot_costs(burn_report const& report);

} // namespace buckthornvale::ctl

#endif
