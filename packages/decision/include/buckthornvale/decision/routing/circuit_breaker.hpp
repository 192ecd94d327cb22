#ifndef BUCKTHORNVALE_DECISION_ROUTING_CIRCUIT_BREAKER_HPP
#define BUCKTHORNVALE_DECISION_ROUTING_CIRCUIT_BREAKER_HPP

#include <buckthornvale/decision/routing/routing_settings.hpp>

#include <pcg_random.hpp>

#include <cstdint>

namespace buckthornvale::decision::routing
{

enum class circuit_state : std::uint8_t
{
    closed,
    open,     //!< no attempts until the wait has passed
    half_open //!< one probe is in flight
};

//! Circuit breaker of one runner. An open circuit lets one probe through
//! after a jittered wait that doubles with each failed probe.
class circuit_breaker
{
public:
    circuit_state state() const { return state_; }

    //! Records a completion in the expected time; closes the circuit after a
    //! probe.
    void record_success();

    //! Records a failure; `random` jitters the wait.
    void record_failure(breaker_settings const& settings, time_point now,
                        pcg32& random);

    //! Records a slow completion; opens the circuit only if `may_open`.
    void record_slow(breaker_settings const& settings, bool may_open,
                     time_point now, pcg32& random);

    //! True when the wait has passed and no probe is in flight.
    bool probe_due(time_point now) const
    {
        return state_ == circuit_state::open && now >= next_probe_;
    }

    time_point next_probe() const { return next_probe_; }

    void start_probe() { state_ = circuit_state::half_open; }

    //! Reverts to open after a probe without a verdict; another probe may
    //! follow at once.
    void cancel_probe();

    //! Returns whether the circuit was opened by slowness alone.
    bool opened_by_slowness() const { return opened_by_slowness_; }

    //! Returns whether enough consecutive probes were slow to accept the
    //! runner's lower speed as its normal speed.
    bool accepts_slowness(breaker_settings const& settings) const
    {
        return slow_probes_ >= settings.slow_probes_to_accept;
    }

private:
    void open(breaker_settings const& settings, time_point now, pcg32& random);

    time_point next_probe_{};
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t slow_completions_ = 0;
    std::uint32_t slow_probes_ = 0;
    //! Since the last successful probe.
    std::uint32_t consecutive_openings_ = 0;
    circuit_state state_ = circuit_state::closed;
    bool opened_by_slowness_ = false;
};

} // namespace buckthornvale::decision::routing

#endif
