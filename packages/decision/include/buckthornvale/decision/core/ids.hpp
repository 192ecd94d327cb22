#ifndef BUCKTHORNVALE_DECISION_CORE_IDS_HPP
#define BUCKTHORNVALE_DECISION_CORE_IDS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace buckthornvale::decision
{

//! Stable 64-bit hash (xxHash3) of a name or of content; equal on every VM.
std::uint64_t stable_hash(std::string_view text);

//! Stable number from 0 up to, but not including, 1; equal on every VM. Spreads
//! VMs or callers that would otherwise act at the same moment.
double stable_fraction(std::string_view text);

//! Identifier of a named entity. The value is the stable hash of its name, so
//! VMs need no agreed numbering, and it has a fixed size on the peer link.
//! Settings validation rejects two names with the same hash.
template <class Tag>
struct named_id
{
    std::uint64_t value = 0;

    static named_id of(std::string_view name)
    {
        return named_id{stable_hash(name)};
    }

    friend bool operator==(named_id a, named_id b)
    {
        return a.value == b.value;
    }
    friend bool operator!=(named_id a, named_id b)
    {
        return a.value != b.value;
    }
    friend bool operator<(named_id a, named_id b) { return a.value < b.value; }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, named_id id)
    {
        return Hash::combine(std::move(state), id.value);
    }
};

using organisation_id = named_id<struct organisation_tag>;
using pipeline_id = named_id<struct pipeline_tag>;
using pool_id = named_id<struct pool_tag>;
using runner_id = named_id<struct runner_tag>;
using vm_id = named_id<struct vm_tag>;
using failure_domain_id = named_id<struct failure_domain_tag>;

//! Identifier that is unique in the fleet. The incarnation is drawn at random
//! when a process starts; the counter increases within the process.
template <class Tag>
struct counted_id
{
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;

    friend bool operator==(counted_id a, counted_id b)
    {
        return a.incarnation == b.incarnation && a.counter == b.counter;
    }
    friend bool operator!=(counted_id a, counted_id b) { return !(a == b); }
    friend bool operator<(counted_id a, counted_id b)
    {
        return a.incarnation != b.incarnation ? a.incarnation < b.incarnation
                                              : a.counter < b.counter;
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, counted_id id)
    {
        return Hash::combine(std::move(state), id.incarnation, id.counter);
    }
};

using request_id = counted_id<struct request_tag>;
using attempt_id = counted_id<struct attempt_tag>;

//! Text form of a counted id: 16 hexadecimal digits, '-', counter in decimal.
std::string to_text(std::uint64_t incarnation, std::uint64_t counter);

template <class Tag>
std::string to_text(counted_id<Tag> id)
{
    return to_text(id.incarnation, id.counter);
}

//! Parses the text form; returns false when it is malformed.
bool parse_counted_id(std::string_view text, std::uint64_t& incarnation,
                      std::uint64_t& counter);

} // namespace buckthornvale::decision

#endif
