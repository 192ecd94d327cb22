#include <buckthornvale/gateway/store/store_timing.hpp>

#include <algorithm>

namespace buckthornvale::gateway::store
{

namespace
{

using namespace std::chrono_literals;

//! A watch whose connection went silent is noticed after this multiple of the
//! time within which a manifest has to be in force.
constexpr double manifest_wait_factor = 1.5;
constexpr duration min_manifest_wait = 1s;
constexpr duration max_manifest_wait = 30s;

//! Changes often come in bursts, so the next watch starts only after a pause.
constexpr duration manifest_pause = 150ms;
constexpr duration member_pause = 1500ms;

//! A draining runner keeps serving for the drain timeout. Half of it is for
//! learning of the drain, the rest for requests on their way.
constexpr int drain_timeout_divisor = 2;

constexpr duration runner_wait = 8s;
constexpr duration member_wait = 29s;

//! Registrations that expired in an outage are renewed soon after it.
constexpr duration runner_pause_after_outage = 350ms;

} // namespace

watch_timing manifest_watch_timing(platform::node_settings const& settings)
{
    auto const wait = decision::from_seconds(
        manifest_wait_factor *
        decision::to_seconds(settings.manifest_apply_timeout));
    return {std::clamp(wait, min_manifest_wait, max_manifest_wait),
            manifest_pause, manifest_pause};
}

watch_timing runner_watch_timing(platform::node_settings const& settings)
{
    auto const pause = settings.drain_timeout / drain_timeout_divisor;
    return {runner_wait, pause, std::min(pause, runner_pause_after_outage)};
}

watch_timing member_watch_timing()
{
    return {member_wait, member_pause, member_pause};
}

} // namespace buckthornvale::gateway::store
