#ifndef BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_DIRECTORY_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_RUNNER_DIRECTORY_HPP

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

//! How a send ended, as far as it says something about the runner.
enum class runner_signal
{
    served,      //!< a whole answer that counts
    failed,      //!< an answer that is a failure
    unreachable, //!< no connection
    silent,      //!< sent, and the connection broke or nothing came in time
    full,        //!< the runner refused for want of room
    replaced     //!< another runner has the address
};

//! A runner with what this VM knows of it.
struct runner_state
{
    runner entry;
    std::uint32_t outstanding = 0; //!< sends of this VM that have not ended
    std::optional<runner_load> load;
    time_point load_at{};
    double latency_s = 0;     //!< moving average of served sends; 0: unknown
    double failure_share = 0; //!< moving average
    std::uint32_t consecutive_silent_sends = 0; //!< in a row
    time_point backoff_until{};                 //!< gets nothing before it
    std::uint32_t backoff_count = 0;            //!< in a row, for the back-off
    //! When set, the entry lapsed while the store was out of reach and is
    //! taken as gone at this time.
    std::optional<time_point> expires_at;
    bool fallback_only = false; //!< entry removed; used when no other is left
};

//! The runners that are registered, with their health as this VM sees it.
//! Answers the load pattern "some runners fail, slow down or fall silent while
//! their entries and health checks stay good".
class runner_directory
{
public:
    //! Entries that lapse during an outage of the store return within this
    //! time after it, if the runner lives.
    static constexpr duration max_outage_grace_period =
        std::chrono::milliseconds(2100);

    //! `drain_timeout` is the time after the removal of its entry from which a
    //! runner must get nothing.
    //! `max_update_delay` is the longest time until a removal is known while
    //! the store is in reach.
    explicit runner_directory(duration drain_timeout,
                              duration max_update_delay = {});

    //! Replaces the list.
    void assign(absl::Span<runner const> runners, bool after_outage,
                time_point now);
    void upsert(runner value);
    void remove(std::string_view id, bool after_outage, time_point now);

    //! Takes entries as gone whose time to return has passed.
    void expire(time_point now);

    //! Runners of the service that may get a request now, ordered by id. When
    //! all of them are avoided, those avoided are returned: some may live.
    void usable(std::string_view service, time_point now,
                std::vector<runner_state*>& out);

    runner_state* find(std::string_view id);

    //! Empty for an unknown address.
    std::string_view failure_domain_of(std::string_view address) const;

    void record(runner_state& state, runner_signal signal, duration elapsed,
                time_point now);

    std::size_t size() const { return runners_.size(); }

private:
    using runner_map = std::map<std::string, runner_state, std::less<>>;

    void erase_entry(runner_map::iterator it);
    void back_off(runner_state& state, duration min_backoff, time_point now);

    duration outage_grace_period_{};  //!< use of an entry lapsed in an outage
    duration removal_grace_period_{}; //!< use of a removed entry without others
    runner_map runners_;
    std::map<std::string, std::string, std::less<>> id_by_address_;
};

//! Keeps the load that a runner has stated, if it stated one.
void record_load(runner_state& state, std::optional<runner_load> load,
                 time_point now);

//! Estimated requests in progress at the runner, over all VMs.
double estimated_load(runner_state const& state, time_point now);

} // namespace buckthornvale::decision::gateway

#endif
