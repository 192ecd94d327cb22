#include <buckthornvale/gateway/store/store_timing.hpp>
#include <buckthornvale/gateway/transfer_time.hpp>

#include <algorithm>

namespace buckthornvale::gateway::store
{

namespace
{

using namespace std::chrono_literals;

//! The loss of an answer to a watch of the manifest is noticed within this
//! multiple of the time within which a manifest has to be in force, and within
//! the bounds below.
constexpr double manifest_silence_factor = 1.5;
constexpr duration min_manifest_silence = 2s;
constexpr duration max_silence = 30s;

//! Changes often come in bursts, so the next watch starts only after a pause.
constexpr duration manifest_pause = 150ms;
constexpr duration member_pause = 1500ms;
constexpr duration evacuation_pause = 150ms;

//! A draining runner keeps serving for the drain timeout. Half of it is for
//! learning of the drain, the rest for requests on their way.
constexpr int drain_timeout_divisor = 2;

constexpr duration max_runner_silence = 9s;

//! VMs that start together all change the list of VMs, and share limits by it.
constexpr duration first_member_silence = 3s;

//! Registrations that expired in an outage are renewed soon after it.
constexpr duration runner_pause_after_outage = 350ms;

//! Time from the end of the longest silence until a change in the lost answer
//! is obeyed: the next check of timeouts, another watch on a new connection,
//! and requests on their way.
constexpr duration catch_up_time = 700ms;

//! Longest silence with which a change is obeyed in time, whenever its answer
//! was lost. The change is due within the bound after it was written, but not
//! before the settle time after the loss; neither came before the last answer.
duration longest_silence(platform::node_settings const& settings,
                         duration bound)
{
    return std::max(settings.settle_time, bound) - catch_up_time;
}

} // namespace

watch_timing manifest_watch_timing(platform::node_settings const& settings)
{
    auto const bound = settings.manifest_apply_timeout;
    auto const silence = decision::from_seconds(manifest_silence_factor *
                                                decision::to_seconds(bound));
    // A manifest may be as large as the store allows.
    auto const time_on_link =
        transfer_time(settings.max_store_value_bytes, settings);
    return {std::min(std::clamp(silence, min_manifest_silence, max_silence),
                     longest_silence(settings, bound) - time_on_link),
            manifest_pause, manifest_pause};
}

watch_timing runner_watch_timing(platform::node_settings const& settings)
{
    auto const bound = settings.drain_timeout;
    auto const pause = bound / drain_timeout_divisor;
    return {std::min(longest_silence(settings, bound), max_runner_silence),
            pause, std::min(pause, runner_pause_after_outage)};
}

watch_timing evacuation_watch_timing(platform::node_settings const& settings)
{
    // The bound counts from the acknowledgement, also right after a loss.
    auto const bound = settings.evacuation_timeout.value_or(duration());
    return {std::min(bound - catch_up_time, max_silence), evacuation_pause,
            evacuation_pause};
}

watch_timing crash_records_timing()
{
    watch_timing out;
    out.lists_only = true;
    return out;
}

watch_timing member_watch_timing()
{
    return {max_silence, member_pause, member_pause, first_member_silence};
}

} // namespace buckthornvale::gateway::store
