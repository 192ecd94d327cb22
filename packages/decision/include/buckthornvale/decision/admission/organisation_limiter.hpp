#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_LIMITER_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_LIMITER_HPP

#include <buckthornvale/decision/admission/organisation_table.hpp>
#include <buckthornvale/decision/admission/peer_view.hpp>

namespace buckthornvale::decision::admission
{

//! This VM's part of an organisation's fleet-wide limits.
struct limit_share
{
    double fraction = 1.0;        //!< of the limit
    double peers_in_flight = 0.0; //!< as the fresh peers reported
    bool all_fresh = true;        //!< no peer's summary is stale
};

//! Divides a limit by demand between the VMs with fresh summaries. Each stale
//! VM keeps its safe share, the limit over the largest recent fleet size, so
//! that the parts of a partitioned fleet do not add up to more than the limit.
limit_share share_of_limit(organisation_record const& record,
                           peer_view const& peers);

//! Takes a token for one request; false when the rate is above the share.
bool take_rate_token(organisation_record& record, double requests_per_second,
                     duration burst, limit_share const& share, time_point now);

//! Time until the next token.
duration rate_retry_after(organisation_record const& record,
                          double requests_per_second, limit_share const& share);

//! Whether one more request in flight is within the share of the limit.
bool within_concurrency_share(organisation_record const& record,
                              std::uint32_t concurrent,
                              limit_share const& share);

} // namespace buckthornvale::decision::admission

#endif
