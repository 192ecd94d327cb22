#ifndef BUCKTHORNVALE_DECISION_CORE_ERROR_HPP
#define BUCKTHORNVALE_DECISION_CORE_ERROR_HPP

#include <absl/types/span.h>

#include <string>
#include <string_view>

namespace buckthornvale::decision
{

//! Reasons why a caller does not receive a completed answer.
enum class error_kind
{
    none,
    malformed_request,
    unauthenticated,
    forbidden,
    unknown_pipeline,
    deadline_passed,
    body_too_large,
    missing_idempotency_key,
    key_reused,
    key_expired,
    rate_limited,
    too_many_concurrent,
    overloaded,
    deadline_unreachable,
    isolated,
    no_runner,
    store_unavailable,
    not_ready,
    shutting_down,
    runner_failed,
    stream_broken,
    deadline_exceeded,
    outcome_pending,
    outcome_unknown,
    unknown_key,
    caller_gone
};

//! Fixed properties of an error kind.
struct error_traits
{
    error_kind kind;
    std::string_view name;    //!< stable name in answers and metrics
    int http_status;          //!< status of an answer with this error
    std::string_view message; //!< what happened
    std::string_view remedy;  //!< what the caller can do
};

//! Looks up the properties of a kind; every kind has an entry.
error_traits const& traits_of(error_kind kind);

//! Properties of all error kinds, in the order of the enumeration.
absl::Span<error_traits const> all_error_traits();

//! An error kind with the details of one occurrence.
struct error
{
    error_kind kind = error_kind::none;
    std::string detail; //!< appended to the kind's message when not empty

    explicit operator bool() const { return kind != error_kind::none; }
};

//! The message of the kind, followed by the detail of this occurrence.
std::string message_of(error const& value);

} // namespace buckthornvale::decision

#endif
