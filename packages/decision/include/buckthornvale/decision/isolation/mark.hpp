#ifndef BUCKTHORNVALE_DECISION_ISOLATION_MARK_HPP
#define BUCKTHORNVALE_DECISION_ISOLATION_MARK_HPP

#include <buckthornvale/decision/core/time.hpp>
#include <buckthornvale/decision/isolation/fingerprint.hpp>

#include <absl/container/inlined_vector.h>

#include <cstddef>
#include <cstdint>

namespace buckthornvale::decision::isolation
{

enum class mark_state : std::uint8_t
{
    cleared,
    suspect,
    isolated
};

//! Crashes that a mark tells apart; more are isolated anyway.
constexpr std::size_t most_crash_ids = 4;

//! What a VM knows about one fingerprint, as it is spread between VMs.
struct mark
{
    fingerprint content;
    mark_state state = mark_state::suspect;
    std::uint32_t lifts = 0;  //!< times an operator lifted it
    std::uint32_t clears = 0; //!< times it completed alone
    //! One id per runner lost since the last clear, at most `most_crash_ids`.
    absl::InlinedVector<std::uint64_t, 2> crash_ids;
    duration remaining{}; //!< time until it expires
};

//! Adds an id unless it is known or there is no room.
void add_crash(mark& value, std::uint64_t crash_id);

//! Joins what two VMs know, in any order and any number of times: the later
//! lift wins; then isolation; then the later clear, where a suspicion is later
//! than the clear before it. Crashes of two equal marks are added up.
//! `remaining` is that of the winning mark.
mark merge(mark const& a, mark const& b);

//! True when the marks say the same, `remaining` aside.
bool equal_ignoring_remaining(mark const& a, mark const& b);

} // namespace buckthornvale::decision::isolation

#endif
