#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_UPDATE_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_UPDATE_HPP

#include <buckthornvale/decision/bookings/booking_types.hpp>
#include <buckthornvale/decision/core/error.hpp>

#include <cstdint>

namespace buckthornvale::decision::bookings
{

//! Kind of an update of one claim.
enum class update_kind : std::uint8_t
{
    claim,      //!< add the claim if the key has none
    query,      //!< read the claim
    dispatched, //!< record that the attempt may have started
    completed,  //!< record the result
    unknown,    //!< record that the outcome is not known
    release     //!< remove a claim that its owner never ran
};

//! A change of one claim. It is idempotent, because the nonce identifies the
//! claim.
struct shard_update
{
    update_kind kind = update_kind::claim;
    shard_address shard;
    claim_id id;
    body_digest body;
    vm_id owner;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    wall_time deadline{};
    booking_result result;
};

//! Result of an update.
enum class update_verdict : std::uint8_t
{
    applied,     //!< in the store
    existing,    //!< the key has another claim, given with the answer
    absent,      //!< a query found no claim
    refused,     //!< not written; an early retry is pointless
    unavailable, //!< proven not written; the store was unavailable
    unsettled    //!< not known whether it was written
};

//! Answer to an update.
struct update_answer
{
    update_kind kind = update_kind::claim;
    shard_address shard;
    claim_id id;
    std::uint64_t incarnation = 0; //!< of the process that sent the update
    std::uint64_t nonce = 0;
    update_verdict verdict = update_verdict::unavailable;
    error_kind reason = error_kind::none; //!< when refused
    claim_entry entry;                    //!< when existing
};

//! Returns whether the update refers to this claim. The owner is compared as
//! well, because two VMs whose generators had the same seed draw the same
//! nonces.
inline bool is_same_claim(claim_entry const& entry, shard_update const& update)
{
    return entry.nonce == update.nonce && entry.owner == update.owner;
}

} // namespace buckthornvale::decision::bookings

#endif
