#include <buckthornvale/decision/core/error.hpp>
#include <buckthornvale/decision/core/text.hpp>

#include <absl/strings/str_cat.h>

namespace buckthornvale::decision
{

namespace
{

constexpr error_traits error_table[] = {
    {error_kind::none, "none", 200, "no error", ""},
    {error_kind::malformed_request, "malformed_request", 400,
     "the request body or a header is malformed",
     "correct the named field and send the request again"},
    {error_kind::unauthenticated, "unauthenticated", 401,
     "the bearer key is missing or does not belong to the organisation",
     "send the organisation's key as 'Authorization: Bearer <key>'"},
    {error_kind::forbidden, "forbidden", 403,
     "the organisation may not use this pipeline",
     "ask the operator to add the pipeline to the organisation's settings"},
    {error_kind::unknown_pipeline, "unknown_pipeline", 404,
     "no pipeline of this name is in force",
     "check the name, or ask the operator to create the pipeline"},
    {error_kind::deadline_passed, "deadline_passed", 400,
     "the deadline is not in the future or exceeds the pipeline's limit",
     "send a deadline_ms between 1 and the pipeline's deadline"},
    {error_kind::body_too_large, "body_too_large", 413,
     "the request body exceeds the limit", "send a smaller input"},
    {error_kind::missing_idempotency_key, "missing_idempotency_key", 400,
     "the pipeline has a stage that must not run twice and the request has "
     "no idempotency key",
     "send idempotency_key and issued_at_ms, and keep them on every retry"},
    {error_kind::key_reused, "key_reused", 409,
     "the idempotency key was used before with another body",
     "use a new key for a new request, or repeat the first body unchanged"},
    {error_kind::key_expired, "key_expired", 400,
     "the idempotency key was issued outside the accepted time window",
     "ask for the outcome of the old key, then issue a new key"},
    {error_kind::rate_limited, "rate_limited", 429,
     "the organisation's request rate is above its limit",
     "wait for retry_after_ms, or ask the operator for a higher limit"},
    {error_kind::too_many_concurrent, "too_many_concurrent", 429,
     "the organisation has too many requests in flight",
     "wait for an answer before sending more"},
    {error_kind::overloaded, "overloaded", 503,
     "the rank has no free share of a pool that the pipeline needs",
     "wait for retry_after_ms and send again"},
    {error_kind::deadline_unreachable, "deadline_unreachable", 503,
     "the deadline cannot be met at the present load",
     "send again later or with a longer deadline"},
    {error_kind::isolated, "isolated", 503,
     "refused: isolated, this content crashed runners before",
     "change the input; the isolation ends after one hour"},
    {error_kind::no_runner, "no_runner", 503,
     "no runner of a needed pool is available",
     "wait for retry_after_ms and send again"},
    {error_kind::store_unavailable, "store_unavailable", 503,
     "the platform's store is unavailable and this work needs a claim",
     "wait for retry_after_ms and send again with the same key"},
    {error_kind::not_ready, "not_ready", 503,
     "this VM has no settings in force yet",
     "send again; the balancer picks a ready VM"},
    {error_kind::shutting_down, "shutting_down", 503,
     "this VM is shutting down", "send again; the balancer picks another VM"},
    {error_kind::runner_failed, "runner_failed", 502,
     "a stage failed on its runner",
     "see safe_to_repeat, or ask for the outcome by key"},
    {error_kind::stream_broken, "stream_broken", 502,
     "the stream ended before its last token",
     "discard the partial answer and see safe_to_repeat"},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504,
     "the deadline passed while the request was running",
     "see safe_to_repeat, or ask for the outcome by key"},
    {error_kind::outcome_pending, "outcome_pending", 202,
     "the request with this key is still running or not settled yet",
     "ask for the outcome again after retry_after_ms"},
    {error_kind::outcome_unknown, "outcome_unknown", 504,
     "the work of this key was started and its outcome is not known; it is "
     "not run again",
     "ask for the outcome by key later, or check with the service's owner "
     "before a new key is issued"},
    {error_kind::unknown_key, "unknown_key", 404,
     "no claim of this key was found",
     "check the key and issued_at_ms; a request with this key did not run "
     "here"},
    {error_kind::caller_gone, "caller_gone", 499,
     "the caller closed the connection",
     "repeat with the same key if the answer is still needed"},
};

} // namespace

error_traits const& traits_of(error_kind kind)
{
    return error_table[static_cast<std::size_t>(kind)];
}

absl::Span<error_traits const> all_error_traits()
{
    return error_table;
}

std::string message_of(error const& value)
{
    auto const& traits = traits_of(value.kind);
    if (value.detail.empty())
        return std::string(traits.message);
    return absl::StrCat(as_absl(traits.message), ": ", value.detail);
}

} // namespace buckthornvale::decision
