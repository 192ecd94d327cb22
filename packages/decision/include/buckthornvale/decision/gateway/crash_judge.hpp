#ifndef BUCKTHORNVALE_DECISION_GATEWAY_CRASH_JUDGE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_CRASH_JUDGE_HPP

#include <buckthornvale/decision/gateway/crash_suspect.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A run that ended because its connection to the runner was lost.
struct lost_run
{
    std::string_view runner;
    //! The head of the answer had arrived. A run that crashes its runner does
    //! so when the runner begins to answer it.
    bool answer_begun = false;
    //! Empty if events had arrived: such a run is not to blame.
    absl::Span<crash_suspect const> suspects;
};

//! Finds what crashes of runners have in common, by the runs that all VMs lost.
//!
//! A suspect is to blame when enough runners ended while they held a run with
//! it and no run with it has been answered since the first of these crashes,
//! though runs without it were. A crash that a blocked suspect explains does
//! not count against others.
class crash_judge
{
public:
    static constexpr std::size_t max_crashes = 128;
    static constexpr std::size_t max_suspects_per_crash = 512;
    static constexpr duration crash_lifetime = std::chrono::minutes(2);

    //! Runs of one runner that are lost within this time are lost by one crash.
    //! A runner needs longer to start again.
    static constexpr duration crash_window = std::chrono::seconds(1);

    //! Two runs that are lost within this time show that their runner has
    //! ended. One alone does not: sound runners close connections too.
    static constexpr duration simultaneous_window =
        std::chrono::milliseconds(250);

    //! Time after a crash in which a failed connection to the runner confirms
    //! it.
    static constexpr duration confirmation_window = std::chrono::seconds(2);

    //! Runners that end within this time of each other are taken to end for one
    //! reason, such as a failure of their host, and count once.
    static constexpr duration crash_spacing = std::chrono::milliseconds(150);

    void record_lost_run(lost_run const& run, time_point now);

    //! A connection to the runner could not be made.
    void record_unreachable(std::string_view runner, time_point now);

    //! Runs with these suspects were answered.
    void record_answered(absl::Span<crash_suspect const> suspects,
                         time_point now);

    //! Returns suspects that have enough crashes against them, each once. The
    //! other VMs are then asked whether they know of answered runs.
    std::vector<crash_verdict>
    take_accused(absl::Span<crash_suspect const> blocked, time_point now);

    //! Returns the suspects that are to blame and have been accused for the
    //! time of the hearing.
    std::vector<crash_verdict>
    take_blamed(absl::Span<crash_suspect const> blocked, duration hearing,
                time_point now);

    void expire(time_point now);

    bool has_evidence() const { return !crashes_.empty(); }
    bool has_accused() const { return !accused_at_.empty(); }

private:
    using suspect_set = absl::flat_hash_set<crash_suspect>;

    struct crash
    {
        std::string runner;
        time_point at{};
        bool confirmed = false;
        std::uint32_t lost_runs = 0;
        suspect_set begun;   //!< of runs whose answer had begun
        suspect_set waiting; //!< of the other runs

        suspect_set const& suspects() const
        {
            return begun.empty() ? waiting : begun;
        }
    };

    //! What counts against a suspect.
    struct charge
    {
        std::uint32_t crashes = 0;
        time_point first{};
        time_point last{};
    };

    using charge_map = absl::flat_hash_map<crash_suspect, charge>;

    crash* find_recent(std::string_view runner, duration window,
                       time_point now);
    charge_map charges(absl::Span<crash_suspect const> blocked) const;
    bool others_are_answered(crash_suspect const& suspect,
                             charge const& value) const;
    bool is_to_blame(crash_suspect const& suspect, charge const& value,
                     charge_map const& all) const;

    std::deque<crash> crashes_; //!< oldest first
    //! Last answered run by hash of the service.
    absl::flat_hash_map<std::uint64_t, time_point> service_answered_at_;
    absl::flat_hash_map<crash_suspect, time_point> accused_at_;
};

} // namespace buckthornvale::decision::gateway

#endif
