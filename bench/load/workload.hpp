#ifndef BUCKTHORNVALE_BENCH_LOAD_WORKLOAD_HPP
#define BUCKTHORNVALE_BENCH_LOAD_WORKLOAD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornvale::bench::load
{

//! A name and its weight among its siblings.
struct weighted_name
{
    std::string name;
    double weight = 1.;
};

//! Parses "name:weight,name:weight"; a missing weight is 1. Returns an empty
//! list when a weight is not a positive number.
std::vector<weighted_name> parse_mix(std::string const& text);

struct workload_settings
{
    std::uint64_t seed = 1;
    double rate = 10.; //!< requests/s over all targets; 0: closed loop
    double seconds = 10.;
    std::size_t max_requests = 100'000; //!< bound of one run
    std::vector<weighted_name> pipelines;
    std::vector<weighted_name> ranks;
    std::string booking_pipeline;
    double booking_share = 0.;     //!< of all requests
    std::size_t organisations = 1; //!< names org-1 to org-N
    std::size_t targets = 1;
};

struct planned_request
{
    std::chrono::nanoseconds due{}; //!< after the start; 0 in a closed loop
    std::string pipeline;
    std::string organisation;
    std::size_t rank = 0; //!< index in the mix of ranks
    std::size_t target = 0;
    bool is_booking = false;
};

//! The same settings give the same requests.
std::vector<planned_request> plan(workload_settings const& settings);

} // namespace buckthornvale::bench::load

#endif
