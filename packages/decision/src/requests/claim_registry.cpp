#include <buckthornvale/decision/requests/claim_registry.hpp>

#include <absl/strings/str_cat.h>

namespace buckthornvale::decision::requests
{

namespace
{

bool is_first_non_repeatable_stage(stage_graph const& graph, stage_index n)
{
    for (stage_index k = 0; k < n; ++k)
    {
        if (!graph.at(k).repeatable)
            return false;
    }
    return true;
}

} // namespace

request_id claim_registry::add(request_id request, stage_index stage)
{
    // The top bit distinguishes claim ids from ids of requests and queries.
    constexpr std::uint64_t claim_bit = std::uint64_t{1} << 63;
    request_id const claim{incarnation_, claim_bit | ++last_counter_};
    stages_by_claim_[claim] = {request, stage};
    claims_by_request_[request][stage] = claim;
    return claim;
}

std::optional<claimed_stage> claim_registry::find(request_id claim) const
{
    auto const it = stages_by_claim_.find(claim);
    if (it == stages_by_claim_.end())
        return std::nullopt;
    return it->second;
}

std::optional<request_id> claim_registry::claim_of(request_id request,
                                                   stage_index stage) const
{
    auto const it = claims_by_request_.find(request);
    if (it == claims_by_request_.end())
        return std::nullopt;
    auto const claim = it->second.find(stage);
    if (claim == it->second.end())
        return std::nullopt;
    return claim->second;
}

void claim_registry::remove(request_id claim)
{
    auto const it = stages_by_claim_.find(claim);
    if (it == stages_by_claim_.end())
        return;
    auto const request = claims_by_request_.find(it->second.request);
    request->second.erase(it->second.stage);
    if (request->second.empty())
        claims_by_request_.erase(request);
    stages_by_claim_.erase(it);
}

bookings::claim_request claim_request_of(request_state const& request,
                                         stage_index n, time_point now,
                                         bool outcome_queryable)
{
    bookings::claim_request claim;
    claim.key.organisation = organisation_id::of(request.call.organisation);
    claim.key.key = request.call.idempotency_key;
    if (!is_first_non_repeatable_stage(*request.graph, n))
        absl::StrAppend(&claim.key.key, "/", request.graph->at(n).name);
    claim.key.issued_at = request.call.issued_at.value_or(wall_time{});
    claim.body = body_digest_of(request.call);
    claim.time_left = request.deadline - now;
    claim.outcome_queryable = outcome_queryable;
    return claim;
}

bookings::body_digest body_digest_of(caller_request const& call)
{
    return bookings::body_digest::of(
        absl::StrCat(call.pipeline, "\n", call.input));
}

} // namespace buckthornvale::decision::requests
