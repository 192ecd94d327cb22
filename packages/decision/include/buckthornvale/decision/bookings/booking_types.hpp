#ifndef BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_TYPES_HPP
#define BUCKTHORNVALE_DECISION_BOOKINGS_BOOKING_TYPES_HPP

#include <buckthornvale/decision/core/ids.hpp>
#include <buckthornvale/decision/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace buckthornvale::decision::bookings
{

//! 128-bit content hash (xxHash3).
struct digest128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    static digest128 of(std::string_view text);

    friend bool operator==(digest128 a, digest128 b)
    {
        return a.high == b.high && a.low == b.low;
    }
    friend bool operator!=(digest128 a, digest128 b) { return !(a == b); }
    friend bool operator<(digest128 a, digest128 b)
    {
        return a.high != b.high ? a.high < b.high : a.low < b.low;
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, digest128 value)
    {
        return Hash::combine(std::move(state), value.high, value.low);
    }
};

//! Text form: 32 hexadecimal digits.
std::string to_text(digest128 value);

//! Parses the text form; returns false when it is malformed.
bool parse_digest(std::string_view text, digest128& value);

//! Digest of a request body.
using body_digest = digest128;

//! Identifies a claim: the digest of the organisation and its key.
using claim_id = digest128;

//! An idempotency key as the caller sent it.
struct booking_key
{
    organisation_id organisation;
    std::string key;
    wall_time issued_at{}; //!< part of the key; the same on every retry
};

claim_id id_of(booking_key const& key);

//! The shard object that holds a claim.
struct shard_address
{
    std::uint64_t window = 0; //!< time of issue divided by the window length
    std::uint32_t shard = 0;

    friend bool operator==(shard_address a, shard_address b)
    {
        return a.window == b.window && a.shard == b.shard;
    }
    friend bool operator<(shard_address a, shard_address b)
    {
        return a.window != b.window ? a.window < b.window : a.shard < b.shard;
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, shard_address value)
    {
        return Hash::combine(std::move(state), value.window, value.shard);
    }
};

//! Path of the shard object: `claims/<window>/<shard>`.
std::string path_of(shard_address address);

//! Result of a booking. Only the digest and size of a result above the size
//! limit are kept.
struct booking_result
{
    std::string bytes;      //!< the service's response; empty when truncated
    bool truncated = false; //!< only the digest and the size are kept
    digest128 digest;       //!< of the whole response
    std::uint64_t size = 0; //!< bytes of the whole response
};

//! Maximum size of a result that is stored with its claim, in bytes.
constexpr std::size_t max_result_bytes = 16384;

//! Makes a result from a response; truncates it if it is too large.
booking_result make_result(std::string bytes);

//! Drops the bytes of a result and keeps their digest and size.
booking_result truncate(booking_result result);

//! State of a claim in its shard object.
enum class claim_state : std::uint8_t
{
    claimed,
    dispatched,
    completed,
    unknown //!< may have run; must never run again
};

//! One claim as stored in a shard object.
struct claim_entry
{
    claim_state state = claim_state::claimed;
    body_digest body;
    vm_id owner;
    std::uint64_t incarnation = 0; //!< of the owner's process
    std::uint64_t nonce = 0; //!< identifies the request that wrote the claim
    wall_time deadline{};    //!< of the claiming request
    booking_result result;   //!< when completed
};

//! A live VM, with the incarnation that its process reported (0: not known).
struct live_vm
{
    vm_id vm;
    std::uint64_t incarnation = 0;
};

} // namespace buckthornvale::decision::bookings

#endif
