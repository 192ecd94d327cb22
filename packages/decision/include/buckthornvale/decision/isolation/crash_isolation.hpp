#ifndef BUCKTHORNVALE_DECISION_ISOLATION_CRASH_ISOLATION_HPP
#define BUCKTHORNVALE_DECISION_ISOLATION_CRASH_ISOLATION_HPP

#include <buckthornvale/decision/isolation/fingerprint.hpp>
#include <buckthornvale/decision/isolation/isolation_mark.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::isolation
{

enum class isolation_decision
{
    clear,     //!< may share a runner
    run_alone, //!< suspect: only on an otherwise empty runner
    refused    //!< isolated, or suspect while peers are unreachable
};

struct isolation_settings
{
    //! Number of known crashes after which content is isolated even if it never
    //! ran alone. Within one VM the second crash of a suspect always happens
    //! alone; while a mark is on its way, two VMs can each lose a runner to
    //! content that shared it.
    std::size_t crash_bound = 2;
    duration suspect_lifetime = std::chrono::minutes(10);
    duration isolated_lifetime = std::chrono::hours(1);
    //! How long a cleared mark is kept, so that suspect marks that arrive late
    //! are recognised as outdated.
    duration cleared_lifetime = std::chrono::minutes(2);
    std::size_t max_marks = 4096;
};

struct isolation_counters
{
    std::uint64_t crashes = 0;
    std::uint64_t suspects = 0;
    std::uint64_t isolated = 0;
    std::uint64_t cleared = 0;
    std::uint64_t refused = 0;
    std::uint64_t dropped = 0; //!< marks lost because the table was full
};

//! Detects content that crashes the runners it runs on, and bounds the number
//! of runners it can crash across the fleet.
//!
//! The bound is 3 runners for a caller that resubmits its content after each
//! failure, provided that marks reach the other VMs within one round. Each VM
//! that lacks the mark may add one crash, and copies that already run elsewhere
//! when the first crash is seen cannot be cancelled.
class crash_isolation
{
public:
    //! `incarnation` is unique to the process and distinguishes its crashes
    //! from those of other processes.
    explicit crash_isolation(isolation_settings settings = {},
                             std::uint64_t incarnation = 0);

    //! Returns how the content may run now.
    isolation_decision check(fingerprint content, time_point now);

    //! Returns whether the content may start on the runner alongside this VM's
    //! attempts there. A suspect requires an empty runner, and no other content
    //! may join a suspect.
    bool may_share(runner_id runner, fingerprint content, time_point now) const;

    void attempt_started(runner_id runner, fingerprint content, time_point now);

    //! Records a complete response. Clears a suspect that shared its runner
    //! with no other attempt of this VM at any time.
    void attempt_finished(runner_id runner, fingerprint content,
                          time_point now);

    //! Records an attempt that ended without evidence either way (cancelled,
    //! timed out).
    void attempt_abandoned(runner_id runner, fingerprint content,
                           time_point now);

    //! Records a crash of the runner, which lost all attempts that this VM had
    //! in flight there.
    void runner_crashed(runner_id runner, time_point now);

    //! Merges a mark of another VM; returns true if it changed the local state.
    bool apply_mark(isolation_mark const& value, time_point now);

    //! Appends the marks that changed since the last call; the caller sends
    //! them to all peers at once. Marks received from peers are included if
    //! they changed the local state, so that they propagate along a tree.
    void take_marks(time_point now, std::vector<isolation_mark>& out);

    //! Appends the most recently changed marks, at most `max_count`, for the
    //! summaries that repeat them.
    void recent_marks(time_point now, std::size_t max_count,
                      std::vector<isolation_mark>& out) const;

    //! While the links to peers are down, a suspect is refused instead of run
    //! alone, because its crash could not be reported to the peers.
    void set_links_up(bool up) { links_up_ = up; }

    //! Ends the isolation of the content on all VMs, at an operator's request.
    void lift(fingerprint content, time_point now);

    //! Drops expired marks.
    void expire(time_point now);

    std::size_t marks() const { return marks_.size(); }
    isolation_counters const& counters() const { return counters_; }

private:
    struct attempt
    {
        fingerprint content;
        bool alone = true; //!< no other attempt of this VM shared the runner
    };

    struct stored_mark
    {
        isolation_mark value;
        time_point expires;
        //! Orders the marks by their last change.
        std::uint64_t change_sequence = 0;
        bool unsent = true;
    };

    using attempts = absl::InlinedVector<attempt, 4>;

    stored_mark const* find(fingerprint content, time_point now) const;
    bool is_suspect_or_isolated(fingerprint content, time_point now) const;
    void record_crash(attempt const& lost, std::uint64_t crash_id,
                      time_point now);
    void store(isolation_mark const& value, time_point now);
    void evict_if_full(time_point now);
    duration lifetime_of(mark_state state) const;
    attempt remove(runner_id runner, fingerprint content);
    static isolation_mark with_remaining(stored_mark const& known,
                                         time_point now);

    isolation_settings settings_;
    absl::flat_hash_map<runner_id, attempts> in_flight_;
    absl::flat_hash_map<fingerprint, stored_mark> marks_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t last_change_sequence_ = 0;
    bool links_up_ = true;
    isolation_counters counters_;
};

} // namespace buckthornvale::decision::isolation

#endif
