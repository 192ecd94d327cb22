#include <buckthornvale/decision/routing/circuit_breaker.hpp>

#include <algorithm>
#include <random>

namespace buckthornvale::decision::routing
{

void circuit_breaker::record_success()
{
    consecutive_failures_ = 0;
    slow_completions_ = 0;
    // A completion of an attempt sent before the circuit opened says nothing
    // about the runner's present state.
    if (state_ == circuit_state::open)
        return;
    state_ = circuit_state::closed;
    consecutive_openings_ = 0;
    slow_probes_ = 0;
    opened_by_slowness_ = false;
}

void circuit_breaker::record_failure(breaker_settings const& settings,
                                     time_point now, pcg32& random)
{
    ++consecutive_failures_;
    if (state_ == circuit_state::open)
        return;
    if (state_ == circuit_state::half_open ||
        consecutive_failures_ >= settings.failures_to_open)
    {
        opened_by_slowness_ = false;
        slow_probes_ = 0;
        open(settings, now, random);
    }
}

void circuit_breaker::record_slow(breaker_settings const& settings,
                                  bool may_open, time_point now, pcg32& random)
{
    consecutive_failures_ = 0;
    if (state_ == circuit_state::open)
        return;
    if (state_ == circuit_state::half_open)
    {
        ++slow_probes_;
        opened_by_slowness_ = true;
        open(settings, now, random);
        return;
    }
    ++slow_completions_;
    if (slow_completions_ < settings.slow_to_open || !may_open)
        return;
    opened_by_slowness_ = true;
    open(settings, now, random);
}

void circuit_breaker::cancel_probe()
{
    if (state_ == circuit_state::half_open)
        state_ = circuit_state::open;
}

void circuit_breaker::open(breaker_settings const& settings, time_point now,
                           pcg32& random)
{
    constexpr std::uint32_t max_doublings = 16;
    state_ = circuit_state::open;
    slow_completions_ = 0;
    auto const doublings = std::min(consecutive_openings_, max_doublings);
    auto const wait =
        std::min(settings.initial_wait * (std::int64_t{1} << doublings),
                 settings.max_wait);
    ++consecutive_openings_;
    // Waits 0.5 to 1.5 times the backoff, so that VMs that saw the same failure
    // do not probe at the same time.
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_probe_ = now + from_seconds(to_seconds(wait) * jitter(random));
}

} // namespace buckthornvale::decision::routing
