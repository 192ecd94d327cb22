#include <buckthornvale/decision/gateway/engine_profile.hpp>

#include <algorithm>

namespace buckthornvale::decision::gateway
{

namespace
{

//! Bounds of the learned time and speed, so that odd samples cannot make an
//! estimate useless.
constexpr double min_base_time_s = 0.005;
constexpr double max_base_time_s = 0.5;
constexpr double min_read_tokens_per_s = 1000;
constexpr double max_read_tokens_per_s = 1e6;

//! Relative step of an estimate towards each sample. Steps of one size lead to
//! the median, which a few stalled runners do not move.
constexpr double median_step = 0.05;

//! Weight of the newest sample of the averages.
constexpr double ewma_weight = 0.1;

//! Upper limit of one sample of the wait.
constexpr double max_wait_s = 10;

void step_towards(double& value, bool upwards, double min, double max)
{
    double const factor = upwards ? 1 + median_step : 1 / (1 + median_step);
    value = std::clamp(value * factor, min, max);
}

} // namespace

void engine_profile::record_send(double unread_tokens)
{
    mean_unread_tokens_ += ewma_weight * (unread_tokens - mean_unread_tokens_);
}

void engine_profile::record_first_event(first_event_sample const& sample)
{
    double const wait_s =
        to_seconds(sample.elapsed - usual_time(sample.tokens_before));
    mean_wait_s_ += ewma_weight * (std::clamp(wait_s, -max_wait_s, max_wait_s) -
                                   mean_wait_s_);
    record_speed(sample);
}

void engine_profile::record_speed(first_event_sample const& sample)
{
    double const usual_s =
        to_seconds(usual_time(sample.tokens_before)) * sample.reported_slowdown;
    bool const slower = to_seconds(sample.elapsed) > usual_s;
    // Reading dominates the time of large prompts alone.
    if (sample.tokens_before < mean_unread_tokens_)
        step_towards(base_time_s_, slower, min_base_time_s, max_base_time_s);
    else
        step_towards(read_tokens_per_s_, !slower, min_read_tokens_per_s,
                     max_read_tokens_per_s);
}

duration engine_profile::usual_time(double tokens_before) const
{
    return from_seconds(base_time_s_ + tokens_before / read_tokens_per_s_);
}

duration engine_profile::expected_first_event(double unread_tokens) const
{
    return usual_time(unread_tokens) +
           from_seconds(std::max(0.0, mean_wait_s_));
}

} // namespace buckthornvale::decision::gateway
