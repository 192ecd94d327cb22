#ifndef BUCKTHORNVALE_BENCH_POLICY_SCENARIO_HPP
#define BUCKTHORNVALE_BENCH_POLICY_SCENARIO_HPP

#include "model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornvale::bench
{

//! A source of requests: one organisation.
struct caller
{
    std::string name;
    bool small = false;
    std::array<double, rank_count> rate{}; //!< requests/s before the event
    std::array<double, rank_count> event_factor{1.0, 1.0, 1.0};
    std::optional<std::size_t> only_vm; //!< else balanced over all VMs
};

//! Load of one run. Floods and failures begin at `event_at`; figures count
//! requests that arrive between then and the end.
struct scenario
{
    std::string name;
    double event_at = 10.0; //!< seconds
    double length = 40.0;   //!< seconds
    bool halve_models = false;
    std::vector<caller> callers;
};

//! All scenarios for a deployment; the first is the normal load.
std::vector<scenario> make_scenarios(deployment const& shape);

//! One request of the seeded arrivals.
struct arrival
{
    double at = 0.0;
    std::size_t caller = 0;
    std::size_t vm = 0;
    rank work_rank = rank::standard;
    std::vector<double> work; //!< of each stage, slot seconds at speed 1
};

//! Poisson arrivals with log-normal work, in order of time. Each caller and
//! rank has its own random stream, so a flood leaves the others unchanged.
std::vector<arrival> make_arrivals(scenario const& load,
                                   deployment const& shape, std::uint64_t seed);

} // namespace buckthornvale::bench

#endif
