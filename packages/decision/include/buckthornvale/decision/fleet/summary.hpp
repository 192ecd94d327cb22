#ifndef BUCKTHORNVALE_DECISION_FLEET_SUMMARY_HPP
#define BUCKTHORNVALE_DECISION_FLEET_SUMMARY_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/isolation/mark.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::fleet
{

//! Bounds of a summary. What does not fit is dropped, smallest first.
constexpr std::size_t max_summary_pools = 64;
constexpr std::size_t max_summary_organisations = 16;
constexpr std::size_t max_summary_marks = 32;

//! Load of one pool.
struct pool_load
{
    pool_id pool;
    std::array<double, rank_count> in_flight{}; //!< requests
    std::array<double, rank_count> demand{};    //!< seconds of slot time
};

//! Demand of one organisation.
struct organisation_load
{
    organisation_id organisation;
    double requests_per_second = 0.;
    double concurrent = 0.;
    std::array<double, rank_count> cost_rate{}; //!< see admission
};

//! Load of one VM, or the sum over several.
struct load_summary
{
    std::uint32_t vms = 1;
    std::uint64_t settings_revision = 0; //!< highest
    std::vector<pool_load> pools;
    std::vector<organisation_load> organisations; //!< heaviest first
    std::array<double, rank_count> cost_rate{};   //!< of all organisations
    //! Upper bound of the request rate of an organisation that is not listed.
    double unlisted_request_rate = 0.;
    std::vector<isolation::mark> marks; //!< recent ones
};

//! Takes `part` out of `sum`, as far as `sum` lists it.
void subtract(load_summary& sum, load_summary const& part);

//! Adds `other` to `sum`, within the bounds.
void add(load_summary& sum, load_summary const& other);

//! A summary as it goes over a link. Without `full`, pools and organisations
//! that are not listed keep the value that was sent last.
struct summary_message
{
    std::uint64_t sequence = 0; //!< per link; a gap waits for a full one
    bool full = true;
    bool fleet = false; //!< the whole fleet's sum, sent downwards
    load_summary load;
};

} // namespace buckthornvale::decision::fleet

#endif
