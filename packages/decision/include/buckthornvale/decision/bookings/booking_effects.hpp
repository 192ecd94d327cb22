#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_EFFECTS_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_EFFECTS_HPP

#include <buckthornvale/decision/bookings/shard_update.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace buckthornvale::decision::bookings
{

//! Identifies one store call; its answer carries the same token.
using store_token = std::uint64_t;

//! Reads an object.
struct read_object
{
    store_token token = 0;
    std::string path;
};

//! Writes an object if its version is the expected one (0: if absent). The
//! caller must not retry the write by itself.
struct write_object
{
    store_token token = 0;
    std::string path;
    std::uint64_t expected_version = 0;
    std::string value;
};

//! Deletes an object if its version is the expected one.
struct delete_object
{
    store_token token = 0;
    std::string path;
    std::uint64_t expected_version = 0;
};

//! Forwards an update to the VM that commits its shard.
struct forward_update
{
    vm_id to;
    shard_update update;
};

//! Answers an update that a peer forwarded.
struct answer_peer
{
    vm_id to;
    update_answer answer;
};

//! Asks the service for the outcome of a key; see `service_answer`.
struct query_service
{
    request_id request; //!< the request that caused the question
    claim_id id;
    booking_key key;
};

//! The request holds the claim and may dispatch its attempt once.
struct claim_granted
{
    request_id request;
};

//! The key was claimed before with the same body; nothing is run.
struct claim_duplicate
{
    request_id request;
    claim_state state = claim_state::claimed;
    booking_result result; //!< when completed
};

//! The claim was not made: not_run.
struct claim_refused
{
    request_id request;
    error reason;
};

//! The store was unavailable and the claim is proven not written: not_run.
struct claim_unavailable
{
    request_id request;
    duration retry_after{};
};

//! The deadline passed before it was known whether the claim was written: the
//! request's outcome is `unknown`. The table releases the claim if it finds it
//! later.
struct claim_unsettled
{
    request_id request;
};

//! An outcome query found no claim of this key.
struct claim_absent
{
    request_id request;
};

using booking_effect =
    std::variant<read_object, write_object, delete_object, forward_update,
                 answer_peer, query_service, claim_granted, claim_duplicate,
                 claim_refused, claim_unavailable, claim_unsettled,
                 claim_absent>;

using booking_effects = std::vector<booking_effect>;

//! Result of a store call.
enum class store_status : std::uint8_t
{
    ok,          //!< done; `version` is the one written or read
    absent,      //!< read: no object
    conflict,    //!< write: not done; version and value are the current ones
    unavailable, //!< proven not done: nothing was sent, or it was refused
    unknown      //!< the answer was lost; a write may still take effect later
};

//! Answer to a store call.
struct store_answer
{
    store_token token = 0;
    store_status status = store_status::unknown;
    std::uint64_t version = 0; //!< conflict: 0 when the object is absent
    std::string value;
};

} // namespace buckthornvale::decision::bookings

#endif
