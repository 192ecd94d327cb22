#ifndef BUCKTHORNVALE_DECISION_ISOLATION_MARK_HPP
#define BUCKTHORNVALE_DECISION_ISOLATION_MARK_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/isolation/fingerprint.hpp>

#include <cstdint>

namespace buckthornvale::decision::isolation
{

enum class mark_state : std::uint8_t
{
    cleared,
    suspect,
    isolated
};

//! What a VM knows about one fingerprint, as it is spread between VMs. Marks
//! of one fingerprint are ordered by `supersedes`, so that they may arrive
//! late, twice or in any order.
struct mark
{
    fingerprint content;
    mark_state state = mark_state::suspect;
    std::uint32_t lifts = 0;   //!< times an operator lifted it
    std::uint32_t clears = 0;  //!< times it completed alone
    std::uint32_t crashes = 0; //!< runners lost since the last clear
    duration remaining{};      //!< time until it expires
};

//! True when `a` replaces `b`: a later lift wins; then isolation; then the
//! later clear, where a suspicion is later than the clear before it; then
//! the higher crash count.
bool supersedes(mark const& a, mark const& b);

} // namespace buckthornvale::decision::isolation

#endif
