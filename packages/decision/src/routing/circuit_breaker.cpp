#include <buckthornvale/decision/routing/circuit_breaker.hpp>

#include <algorithm>
#include <random>

namespace buckthornvale::decision::routing
{

void circuit_breaker::succeeded()
{
    failures_ = 0;
    slow_ = 0;
    // A late completion of an attempt sent before the circuit opened says
    // nothing about the runner's present state.
    if (state_ == circuit_state::open)
        return;
    state_ = circuit_state::closed;
    openings_ = 0;
    slow_probes_ = 0;
    by_slowness_ = false;
}

void circuit_breaker::failed(breaker_settings const& settings, time_point now,
                             pcg32& random)
{
    ++failures_;
    if (state_ == circuit_state::open)
        return;
    if (state_ == circuit_state::half_open ||
        failures_ >= settings.failures_to_open)
    {
        by_slowness_ = false;
        slow_probes_ = 0;
        open(settings, now, random);
    }
}

void circuit_breaker::slow(breaker_settings const& settings, bool may_open,
                           time_point now, pcg32& random)
{
    failures_ = 0;
    if (state_ == circuit_state::open)
        return;
    if (state_ == circuit_state::half_open)
    {
        ++slow_probes_;
        by_slowness_ = true;
        open(settings, now, random);
        return;
    }
    ++slow_;
    if (slow_ < settings.slow_to_open || !may_open)
        return;
    by_slowness_ = true;
    open(settings, now, random);
}

void circuit_breaker::probe_lost()
{
    if (state_ == circuit_state::half_open)
        state_ = circuit_state::open;
}

void circuit_breaker::open(breaker_settings const& settings, time_point now,
                           pcg32& random)
{
    constexpr std::uint32_t most_doublings = 16;
    state_ = circuit_state::open;
    slow_ = 0;
    auto const doublings = std::min(openings_, most_doublings);
    auto const wait =
        std::min(settings.first_wait * (std::int64_t{1} << doublings),
                 settings.longest_wait);
    ++openings_;
    // Half to one and a half of the wait, so that VMs which saw the same
    // failure do not probe together.
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_probe_ = now + from_seconds(to_seconds(wait) * jitter(random));
}

} // namespace buckthornvale::decision::routing
