#ifndef BUCKTHORNVALE_DECISION_LEASES_LEASE_EFFECTS_HPP
#define BUCKTHORNVALE_DECISION_LEASES_LEASE_EFFECTS_HPP

#include <buckthornvale/decision/core/ids.hpp>

#include <cstdint>
#include <variant>

namespace buckthornvale::decision::leases
{

//! Value of the object `leases/<pool>`.
struct lease_value
{
    vm_id holder; //!< 0: given up by its holder
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0; //!< of the write, to find it after a lost answer
};

struct read_lease
{
    std::uint64_t call = 0; //!< repeated in the answer
    pool_id pool;
};

//! Conditional write; version 0 creates the object.
struct write_lease
{
    std::uint64_t call = 0;
    pool_id pool;
    std::uint64_t expected_version = 0;
    lease_value value;
};

using lease_effect = std::variant<read_lease, write_lease>;

enum class lease_status
{
    ok,
    conflict, //!< a write's expected version was wrong
    absent,   //!< a read found no object
    unknown   //!< no answer, or an error: a write may have taken effect
};

//! Answer to a read or write. `version` and `value` are the object's present
//! ones for `ok` reads and for conflicts; `ok` writes give the new version.
struct lease_answer
{
    std::uint64_t call = 0;
    lease_status status = lease_status::unknown;
    std::uint64_t version = 0;
    lease_value value;
};

} // namespace buckthornvale::decision::leases

#endif
