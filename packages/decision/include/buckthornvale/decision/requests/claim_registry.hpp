#ifndef BUCKTHORNVALE_DECISION_REQUESTS_CLAIM_REGISTRY_HPP
#define BUCKTHORNVALE_DECISION_REQUESTS_CLAIM_REGISTRY_HPP

#include <buckthornvale/decision/bookings/booking_table.hpp>
#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/requests/request_state.hpp>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

namespace buckthornvale::decision::requests
{

//! The stage that a claim belongs to.
struct claimed_stage
{
    request_id request;
    stage_index stage = 0;
};

//! Maps the claims of stages to ids of their own. The booking table holds one
//! claim for each id, but a request with two non-repeatable stages has two.
class claim_registry
{
public:
    explicit claim_registry(std::uint64_t incarnation)
        : incarnation_(incarnation)
    {
    }

    //! Adds a claim for a stage and returns its new id.
    request_id add(request_id request, stage_index stage);

    //! The stage of a claim; empty for an unknown id.
    std::optional<claimed_stage> find(request_id claim) const;

    //! The id of a stage's claim; empty when it has none.
    std::optional<request_id> claim_of(request_id request,
                                       stage_index stage) const;

    void remove(request_id claim);

private:
    std::uint64_t incarnation_;
    std::uint64_t last_counter_ = 0;
    absl::flat_hash_map<request_id, claimed_stage> stages_by_claim_;
    absl::flat_hash_map<request_id,
                        absl::flat_hash_map<stage_index, request_id>>
        claims_by_request_;
};

//! Builds the claim for stage `n` of a request. The first non-repeatable stage
//! is claimed under the caller's key, so that its outcome can be queried by
//! that key. Further ones are claimed under the key followed by the stage's
//! name.
bookings::claim_request claim_request_of(request_state const& request,
                                         stage_index n, time_point now,
                                         bool outcome_queryable);

//! Digest of everything that must be equal in a repeated request with the same
//! key.
bookings::body_digest body_digest_of(caller_request const& call);

} // namespace buckthornvale::decision::requests

#endif
