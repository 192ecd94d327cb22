#ifndef BUCKTHORNVALE_DECISION_FLEET_SUMMARY_HPP
#define BUCKTHORNVALE_DECISION_FLEET_SUMMARY_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/rank.hpp>
#include <buckthornvale/decision/isolation/isolation_mark.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::fleet
{

//! Size limits of a summary. Entries beyond them are dropped, smallest first.
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
    //! See admission::organisation_demand.
    std::array<double, rank_count> cost_rate{};
};

//! Load of one VM, or a sum over several VMs.
struct load_summary
{
    std::uint32_t vms = 1;
    std::uint64_t settings_revision = 0; //!< highest revision of these VMs
    std::vector<pool_load> pools;
    std::vector<organisation_load> organisations; //!< heaviest first
    std::array<double, rank_count> cost_rate{};   //!< of all organisations
    //! Upper bound on the request rate of an organisation that is not listed.
    double unlisted_request_rate = 0.;
    std::vector<isolation::isolation_mark> marks; //!< recent marks
};

//! Subtracts `part` from the entries that `sum` lists; no value becomes
//! negative.
void subtract(load_summary& sum, load_summary const& part);

//! Adds `other` to `sum` within the size limits.
void add(load_summary& sum, load_summary const& other);

//! A summary as sent over a link. When it is not `full`, pools and
//! organisations that it does not list keep the values that were sent last.
struct summary_message
{
    //! Counts the messages of a link; after a gap the receiver waits for a full
    //! summary.
    std::uint64_t sequence = 0;
    bool full = true;
    bool fleet = false; //!< sum of the whole fleet, sent from parent to child
    load_summary load;
};

} // namespace buckthornvale::decision::fleet

#endif
