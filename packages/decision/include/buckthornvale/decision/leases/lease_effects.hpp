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
    vm_id holder; //!< 0: released by its holder
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0; //!< random for each write; identifies it after
                             //!< a lost answer
};

struct read_lease
{
    std::uint64_t call = 0; //!< call id, echoed in the answer
    pool_id pool;
};

//! Conditional write; an expected version of 0 creates the object.
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
    conflict, //!< the expected version of a write did not match
    absent,   //!< a read found no object
    unknown   //!< no answer, or an error; a write may have been applied
};

//! Answer to a read or write. For `ok` reads and for conflicts, `version` and
//! `value` are the current ones of the object. For `ok` writes, `version` is
//! the new version.
struct lease_answer
{
    std::uint64_t call = 0;
    lease_status status = lease_status::unknown;
    std::uint64_t version = 0;
    lease_value value;
};

} // namespace buckthornvale::decision::leases

#endif
