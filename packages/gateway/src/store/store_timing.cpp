#include <buckthornvale/gateway/store/store_timing.hpp>
#include <buckthornvale/gateway/transfer_time.hpp>

#include <algorithm>

namespace buckthornvale::gateway::store
{

namespace
{

using namespace std::chrono_literals;

//! A watch of the manifest waits for this multiple of the time within which a
//! manifest has to be in force.
constexpr double manifest_wait_factor = 1.5;
constexpr duration min_manifest_wait = 1s;
constexpr duration max_manifest_wait = 30s;

//! Changes often come in bursts, so the next watch starts only after a pause.
constexpr duration manifest_pause = 150ms;
constexpr duration member_pause = 1500ms;
constexpr duration evacuation_pause = 150ms;

//! A draining runner keeps serving for the drain timeout. Half of it is for
//! learning of the drain, the rest for requests on their way.
constexpr int drain_timeout_divisor = 2;

constexpr duration min_wait = 500ms;
constexpr duration max_runner_wait = 8s;
constexpr duration member_wait = 29s;
constexpr duration max_evacuation_wait = 29s;

//! Registrations that expired in an outage are renewed soon after it.
constexpr duration runner_pause_after_outage = 350ms;

//! Time from the notice of a lost answer until the change in it is obeyed:
//! another watch on a new connection, and requests on their way.
constexpr duration catch_up_time = 700ms;

//! Longest wait with which a change is obeyed within the bound after it was
//! written, although the answer before it was lost. The bound counts only from
//! the settle time after the loss. A connection can be lost unnoticed while it
//! is idle, during the pause before a watch.
duration longest_wait(platform::node_settings const& settings, duration bound,
                      duration pause)
{
    auto const wait = settings.settle_time + bound - pause -
                      watch_timeout_margin - catch_up_time;
    return std::max(wait, min_wait);
}

} // namespace

watch_timing manifest_watch_timing(platform::node_settings const& settings)
{
    auto const wait = decision::from_seconds(
        manifest_wait_factor *
        decision::to_seconds(settings.manifest_apply_timeout));
    // A manifest may be as large as the store allows.
    auto const time_on_link =
        transfer_time(settings.max_store_value_bytes, settings);
    auto const longest =
        longest_wait(settings, settings.manifest_apply_timeout - time_on_link,
                     manifest_pause);
    return {std::min(std::clamp(wait, min_manifest_wait, max_manifest_wait),
                     longest),
            manifest_pause, manifest_pause};
}

watch_timing runner_watch_timing(platform::node_settings const& settings)
{
    auto const pause = settings.drain_timeout / drain_timeout_divisor;
    auto const longest = longest_wait(settings, settings.drain_timeout, pause);
    return {std::min(longest, max_runner_wait), pause,
            std::min(pause, runner_pause_after_outage)};
}

watch_timing evacuation_watch_timing(platform::node_settings const& settings)
{
    // The bound counts from the acknowledgement, also right after a loss.
    auto const longest = settings.evacuation_timeout.value_or(duration()) -
                         evacuation_pause - watch_timeout_margin -
                         catch_up_time;
    return {std::clamp(longest, min_wait, max_evacuation_wait),
            evacuation_pause, evacuation_pause};
}

watch_timing member_watch_timing()
{
    return {member_wait, member_pause, member_pause};
}

} // namespace buckthornvale::gateway::store
