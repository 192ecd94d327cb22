#ifndef BUCKTHORNVALE_DECISION_ISOLATION_CRASH_ISOLATION_HPP
#define BUCKTHORNVALE_DECISION_ISOLATION_CRASH_ISOLATION_HPP

#include <buckthornvale/decision/isolation/fingerprint.hpp>
#include <buckthornvale/decision/isolation/mark.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace buckthornvale::decision::isolation
{

enum class verdict
{
    clear,     //!< may run beside others
    run_alone, //!< suspect: only on a runner with nothing else
    refused    //!< isolated, or suspect while peers cannot be told
};

struct isolation_settings
{
    //! Known crashes that isolate content even when none was alone. Within
    //! one VM the second crash of a suspect is alone; without a mark in time,
    //! two VMs can each lose a runner to content that ran beside others.
    std::size_t crash_bound = 2;
    duration suspect_lifetime = std::chrono::minutes(10);
    duration isolated_lifetime = std::chrono::hours(1);
    //! Remembered after a clear, so that late suspect marks are recognised.
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

//! Finds content that crashes the runners that run it, and keeps it from
//! taking down more than a bounded number over the whole fleet.
//!
//! The bound is 3 runners for a caller that sends its content again after
//! each failure, while marks reach the other VMs within one round. Each VM
//! that has not got the mark may add one more, and copies that already run
//! elsewhere when the first crash is seen cannot be called back.
class crash_isolation
{
public:
    //! `incarnation` differs between processes; it tells their crashes apart.
    explicit crash_isolation(isolation_settings settings = {},
                             std::uint64_t incarnation = 0);

    //! Says how the content may run now.
    verdict check(fingerprint content, time_point now);

    //! True when the content may start on the runner beside what this VM has
    //! there: a suspect needs it empty, and nothing joins a suspect.
    bool may_share(runner_id runner, fingerprint content, time_point now) const;

    void started(runner_id runner, fingerprint content, time_point now);

    //! A whole response arrived; clears a suspect that was alone throughout.
    void finished(runner_id runner, fingerprint content, time_point now);

    //! The attempt ended without telling anything (cancelled, timed out).
    void abandoned(runner_id runner, fingerprint content, time_point now);

    //! The runner crashed with all that this VM had in flight there.
    void crashed(runner_id runner, time_point now);

    //! Takes a mark of another VM; returns true when it changed anything.
    bool apply_mark(mark const& value, time_point now);

    //! Moves out the marks that changed since the last call, to be sent to
    //! all peers at once. Marks that came from peers are included when they
    //! changed something here, so that they travel on along a tree.
    void take_marks(time_point now, std::vector<mark>& out);

    //! The latest marks, at most `most`, for summaries that repeat them.
    void recent_marks(time_point now, std::size_t max_count,
                      std::vector<mark>& out) const;

    //! While links to peers are down a suspect is refused instead of being
    //! run alone, since its crash could not be told to them.
    void set_links_up(bool up) { links_up_ = up; }

    //! An operator allows the content again, on all VMs.
    void lift(fingerprint content, time_point now);

    //! Drops expired marks.
    void expire(time_point now);

    std::size_t marks() const { return marks_.size(); }
    isolation_counters const& counters() const { return counters_; }

private:
    struct attempt
    {
        fingerprint content;
        bool alone = true; //!< nothing else of this VM joined it
    };

    struct stored_mark
    {
        mark value;
        time_point expires;
        std::uint64_t change_sequence = 0; //!< order of changes
        bool unsent = true;
    };

    using attempts = absl::InlinedVector<attempt, 4>;

    stored_mark const* find(fingerprint content, time_point now) const;
    bool is_suspect_or_isolated(fingerprint content, time_point now) const;
    void record_crash(attempt const& lost, std::uint64_t crash_id,
                      time_point now);
    void store(mark const& value, time_point now);
    void evict_if_full(time_point now);
    duration lifetime_of(mark_state state) const;
    attempt remove(runner_id runner, fingerprint content);
    static mark with_remaining(stored_mark const& known, time_point now);

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
