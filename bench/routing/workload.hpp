#ifndef BUCKTHORNVALE_BENCH_ROUTING_WORKLOAD_HPP
#define BUCKTHORNVALE_BENCH_ROUTING_WORKLOAD_HPP

#include <buckthornvale/decision/core/time.hpp>

#include <pcg_random.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::bench
{

//! Shape of one comparison run.
struct shape
{
    std::size_t runners = 20;
    std::size_t vms = 8;
    double utilisation = 0.8; //!< of all runners' speed
    std::size_t requests = 100'000;
    std::uint64_t seed = 1;
};

//! One request of the run.
struct job
{
    decision::time_point arrival;
    std::size_t vm = 0;
    double work = 0.; //!< seconds at speed 1 with a cold cache
    std::uint64_t adapter = 0;
    std::vector<std::uint64_t> blocks;
};

constexpr double mean_work_s = 0.5;
//! Work that one cached block saves, seconds at speed 1.
constexpr double block_work_s = 0.004;
constexpr double adapter_work_s = 0.2;

//! Poisson arrivals over the VMs; log-normal work; prompts that share a
//! system prompt per organisation (few large ones) and a conversation.
std::vector<job> make_jobs(shape const& of, double total_speed);

} // namespace buckthornvale::bench

#endif
