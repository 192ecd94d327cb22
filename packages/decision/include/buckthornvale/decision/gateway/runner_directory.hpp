#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_DIRECTORY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_DIRECTORY_HPP

#include <buckthornvale/decision/gateway/engine_load.hpp>
#include <buckthornvale/decision/gateway/evacuation_table.hpp>
#include <buckthornvale/decision/gateway/rate_share.hpp>
#include <buckthornvale/decision/gateway/runner.hpp>

#include <absl/types/span.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! Outcome of a send as evidence of the runner's health.
enum class runner_signal
{
    served,      //!< a complete, usable answer
    failed,      //!< an answer with an error
    unreachable, //!< no connection
    silent,      //!< sent; then the connection was lost or timed out
    full,        //!< the runner refused the request because it is full
    replaced     //!< another runner now listens at the address
};

//! A limit on the requests of all VMs together, as a runner names it.
struct runner_rate_limit
{
    rate_share share; //!< of this VM
    time_point named_at{};
    //! Time of the first answer since then that names no limit.
    std::optional<time_point> not_named_since;
    //! Set if another VM has learned that the limit has ended.
    std::optional<time_point> ends_at;
};

//! A runner that was started shortly before, or is as slow again for another
//! reason, and must not get many requests from all VMs together.
struct cold_start
{
    time_point ends_at{};
    //! Of this VM; not set if the service has no limit for cold runners.
    std::optional<rate_share> share;
};

//! What a runner said about further requests. Ends with its incarnation.
struct runner_notice
{
    std::optional<time_point> leaving_since; //!< first told at this time
    time_point quiet_until{};                //!< receives no requests before
    std::optional<runner_rate_limit> rate_limit;
    bool rate_limit_unreadable = false; //!< at least once
};

//! A runner with its health and load as seen by this VM.
struct runner_state
{
    runner entry;
    std::uint32_t outstanding = 0; //!< sends of this VM in progress
    std::optional<runner_load> load;
    time_point load_at{};
    engine_load engine;   //!< of a model runner
    double latency_s = 0; //!< moving average of successful sends; 0: unknown
    double failure_share = 0; //!< moving average
    std::uint32_t consecutive_silent_sends = 0;
    time_point backoff_until{};           //!< receives no requests before
    std::uint32_t backoff_count = 0;      //!< consecutive back-offs
    time_point unreachable_reported_at{}; //!< to the VM that judges crashes
    //! If set, the entry has disappeared from the store, or another runner took
    //! over the address. The runner counts as gone from this time on.
    std::optional<time_point> expires_at;
    //! Entry removed; used only if no other runner is left.
    bool fallback_only = false;
    runner_notice notice;
    std::optional<cold_start> cold;
};

//! The registered runners with their health as seen by this VM. Registrations
//! and health checks do not suffice: a runner may fail, slow down or stop
//! answering while both look good.
class runner_directory
{
public:
    //! A live runner renews an entry that expired during an outage of the store
    //! within this time after the outage.
    static constexpr duration max_outage_grace_period =
        std::chrono::milliseconds(2100);

    //! A request to be left alone for longer is obeyed for this time only. A
    //! runner that says a wrong time must not be lost until its next start.
    static constexpr duration max_quiet_time = std::chrono::minutes(5);

    //! `drain_timeout` is the time after the removal of its entry from which a
    //! runner must not receive requests. `max_update_delay` is the maximum time
    //! until this VM learns of a removal while the store is reachable. Both
    //! hold from `settle_time` after the last failure of the store on.
    explicit runner_directory(duration drain_timeout,
                              duration max_update_delay = {},
                              duration settle_time = {});

    //! Replaces the registered runners. `store_failed_after` is set if the
    //! store was unreachable shortly before, at this time or later. Entries
    //! that expired meanwhile may come back, so that their runners are used for
    //! a grace period.
    void assign(absl::Span<runner const> runners,
                std::optional<time_point> store_failed_after, time_point now);

    //! Same for the first list after the store has come back from a copy. The
    //! copy may show runners as sound that are known to leave, or to be gone;
    //! these stay as they are.
    void assign_restored(absl::Span<runner const> runners,
                         std::optional<time_point> store_failed_after,
                         time_point now);
    void upsert(runner value);
    void remove(std::string_view id,
                std::optional<time_point> store_failed_after, time_point now);

    //! Erases runners whose grace period has passed, and ended limits.
    void expire(time_point now);

    //! Returns the runners of the service that may receive a request now,
    //! ordered by id. If all of them are in back-off, those are returned, since
    //! some of them may be alive. A runner whose limit on requests would be
    //! exceeded is never returned.
    void usable(std::string_view service, time_point now,
                std::vector<runner_state*>& out);

    //! Same, but with the runners that this VM may not send to just now,
    //! because it has used its share of their limits.
    void usable_with_limited(std::string_view service, time_point now,
                             std::vector<runner_state*>& out);

    runner_state* find(std::string_view id);
    runner_state* find_by_address(std::string_view address);

    //! Records that the runner said that it leaves. It is used only if no other
    //! runner is left, and not at all from the drain timeout on. Registrations
    //! of the same incarnation do not end this. Returns true for the first
    //! time.
    bool record_leaving(std::string_view id, time_point now);

    //! Records that the runner wants no requests for some time. `spread`, from
    //! 0 to 1, differs between VMs, so that they return one after the other.
    //! Returns the time at which this VM returns.
    time_point record_quiet(std::string_view id, duration quiet_time,
                            double spread, time_point now);

    //! Time at which the first runner of the service may receive requests, if
    //! all that are left want none now.
    std::optional<time_point> quiet_until(std::string_view service,
                                          time_point now) const;

    //! Records what an answer says of the rate of requests that its runner
    //! takes from all VMs. Returns true if the limit has changed. A new limit
    //! allows no request until its share is set.
    bool record_rate_limit(std::string_view id, named_rate_limit limit,
                           time_point now);

    //! Ends the limit at the time, unless an answer names it before. Another VM
    //! has learned of its end. Returns false if there is nothing to end, or
    //! this VM knows better.
    static bool end_rate_limit(runner_state& state, time_point at,
                               time_point now);

    //! Runners of all services that name a limit.
    std::vector<runner_state*> limited();

    //! Records how long the runner stays cold, as it says in its registration.
    //! A restored registration may be old, and does not shorten what is known.
    //! Returns true if the runner has turned cold. Its share has to be set
    //! then.
    static bool record_cold_start(runner_state& state, duration time_left,
                                  bool restored, time_point now);

    //! Runners of all services that are cold.
    std::vector<runner_state*> cold(time_point now);

    //! Number of these.
    std::size_t cold_count(time_point now) const;

    //! Number of requests that this VM may send to the service until `until`.
    //! Returns nullopt if nothing limits it.
    std::optional<std::size_t> sends_until(std::string_view service,
                                           time_point until,
                                           time_point now) const;

    //! The runner of the service that names a limit or is cold, and that this
    //! VM may send to first. Returns nullptr if there is none.
    runner_state const* first_limited(std::string_view service,
                                      time_point now) const;

    //! Returns an empty string for an unknown address.
    std::string_view failure_domain_of(std::string_view address) const;

    //! Failure domains whose runners receive nothing.
    evacuation_table& evacuations() { return evacuations_; }
    evacuation_table const& evacuations() const { return evacuations_; }

    //! True if runners of the failure domain may receive messages. While one is
    //! excluded, an unknown domain, an empty string, may be that one.
    bool is_reachable_domain(std::string_view failure_domain) const;

    void record(runner_state& state, runner_signal signal, duration elapsed,
                time_point now);

    std::size_t size() const { return runners_.size(); }

private:
    using runner_map = std::map<std::string, runner_state, std::less<>>;

    //! An erased registration. The same incarnation may be registered again.
    struct former_entry
    {
        std::string address;
        std::int64_t started_at_ms = 0;
        runner_notice notice;
        bool has_left = false; //!< and did not only lapse in an outage
        std::optional<time_point> erased_at; //!< set by the next `expire`
    };

    template <class Predicate>
    void select(std::string_view service, time_point now,
                std::vector<runner_state*>& out, Predicate const& accepted);
    duration outage_grace_period(time_point store_failed_after,
                                 time_point now) const;
    former_entry& erase_entry(runner_map::iterator it);
    bool has_left(runner const& value) const;
    runner_notice* find_notice(std::string_view id);
    bool is_gone(runner_state const& state, time_point now) const;
    //! True if the runner receives nothing, because it or its domain leaves.
    bool is_excluded(runner_state const& state, time_point now) const;
    void back_off(runner_state& state, duration min_backoff, time_point now);

    //! Longest grace period of entries that expired in an outage.
    duration max_outage_grace_period_{};
    //! For removed entries without alternatives.
    duration removal_grace_period_{};
    duration leaving_grace_period_{}; //!< for runners that said they leave
    duration settle_time_{};
    runner_map runners_;
    std::map<std::string, former_entry, std::less<>> former_entries_;
    std::map<std::string, std::string, std::less<>> id_by_address_;
    evacuation_table evacuations_;
};

//! Time from which this VM may send to the runner by its shares of the limit
//! that the runner names and of that for cold runners; time_point::max() for
//! never. Returns time_point() without a limit.
time_point next_send(runner_state const& state, time_point now);

//! Smaller one of these limits, in requests per second of all VMs.
std::optional<double> limit_per_s(runner_state const& state, time_point now);

//! True if this VM has used its share of the limit of the runner.
bool is_share_used(runner_state const& state, time_point now);

//! Counts a send, a call of stages or any other request to the runner.
void count_send(runner_state& state, time_point now);

//! Stores the load that a runner reported, if any.
void record_load(runner_state& state, std::optional<runner_load> load,
                 time_point now);

//! Estimates the number of requests at the runner, from all VMs.
double estimated_load(runner_state const& state, time_point now);

} // namespace buckthornvale::decision::gateway

#endif
