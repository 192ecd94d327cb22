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

//! Maximum number of crash ids in a mark; content with more crashes is isolated
//! in any case.
constexpr std::size_t max_crash_ids = 4;

//! State of one fingerprint as it is exchanged between VMs.
struct isolation_mark
{
    fingerprint content;
    mark_state state = mark_state::suspect;
    std::uint32_t lifts = 0;  //!< times an operator lifted it
    std::uint32_t clears = 0; //!< times it completed alone
    //! One id per runner lost since the last clear, at most `max_crash_ids`.
    absl::InlinedVector<std::uint64_t, 2> crash_ids;
    duration remaining{}; //!< time until it expires
};

//! Adds an id unless it is already present or the list is full.
void add_crash(isolation_mark& value, std::uint64_t crash_id);

//! Merges the marks of two VMs. Marks may be merged in any order and any number
//! of times: the mark with more lifts wins; then an isolated one; then the one
//! with more clears, where a suspicion is later than the clear before it. Crash
//! ids of two marks of equal rank are combined. `remaining` is that of the
//! winning mark.
isolation_mark merge(isolation_mark const& a, isolation_mark const& b);

//! Returns whether the marks have equal rank and equally many crash ids;
//! `remaining` is ignored.
bool equal_ignoring_remaining(isolation_mark const& a, isolation_mark const& b);

} // namespace buckthornvale::decision::isolation

#endif
