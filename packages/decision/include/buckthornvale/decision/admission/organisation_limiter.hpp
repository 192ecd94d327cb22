#ifndef BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_LIMITER_HPP
#define BUCKTHORNVALE_DECISION_ADMISSION_ORGANISATION_LIMITER_HPP

#include <buckthornvale/decision/admission/organisation_table.hpp>
#include <buckthornvale/decision/admission/peer_view.hpp>

namespace buckthornvale::decision::admission
{

//! Share of this VM in the fleet-wide limits of an organisation.
struct limit_share
{
    double fraction = 1.0;        //!< of the limit
    double peers_in_flight = 0.0; //!< as reported by peers with fresh summaries
    bool all_fresh = true;        //!< every live peer has a fresh summary
};

//! Divides a limit between the VMs with fresh summaries by their demand. Each
//! stale VM keeps its safe share, which is the limit divided by the largest
//! recent fleet size, so that the shares in a partitioned fleet do not add up
//! to more than the limit.
limit_share share_of_limit(organisation_record const& record,
                           peer_view const& peers);

//! Takes one token from the token bucket of the rate limit; returns false when
//! the request exceeds the share.
bool take_rate_token(organisation_record& record, double requests_per_second,
                     duration burst, limit_share const& share, time_point now);

//! Time until the token bucket holds the next token.
duration rate_retry_after(organisation_record const& record,
                          double requests_per_second, limit_share const& share);

//! Returns whether one more request in flight is within the share of the limit.
bool within_concurrency_share(organisation_record const& record,
                              std::uint32_t concurrent,
                              limit_share const& share);

} // namespace buckthornvale::decision::admission

#endif
