#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_UPDATE_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_SHARD_UPDATE_HPP

#include <buckthornvale/decision/bookings/booking_types.hpp>
#include <buckthornvale/decision/core/error.hpp>

#include <cstdint>

namespace buckthornvale::decision::bookings
{

//! What a VM wants done to one claim of a shard.
enum class update_kind : std::uint8_t
{
    claim,      //!< add the claim when its key has none
    query,      //!< read the claim
    dispatched, //!< note that the attempt may have started
    completed,  //!< note the result
    unknown,    //!< note that the outcome is not known
    release     //!< remove a claim that its owner never ran
};

//! A change of one claim. Applying it twice has the effect of applying it
//! once, because the nonce identifies the claim.
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

//! What became of an update.
enum class update_verdict : std::uint8_t
{
    applied,     //!< in the store
    existing,    //!< the key has another claim, given with the answer
    absent,      //!< a query found no claim
    refused,     //!< not written, and it makes no sense to try again soon
    unavailable, //!< proven not written; the store did not take it
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

//! True when the update is about this claim. The owner is compared too: two
//! VMs whose generators had the same seed draw the same nonces.
inline bool is_same_claim(claim_entry const& entry, shard_update const& update)
{
    return entry.nonce == update.nonce && entry.owner == update.owner;
}

} // namespace buckthornvale::decision::bookings

#endif
