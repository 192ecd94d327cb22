#ifndef BUCKTHORNVALE_GATEWAY_STORE_STORE_TIMING_HPP
#define BUCKTHORNVALE_GATEWAY_STORE_STORE_TIMING_HPP

#include <buckthornvale/gateway/store/store_watcher.hpp>
#include <buckthornvale/platform/node_settings.hpp>

namespace buckthornvale::gateway::store
{

//! Timing of the watches of each kind of object. Every call to the store has a
//! cost that grows with the fleet, so each kind is watched only as often as the
//! bounds in the settings require.
watch_timing manifest_watch_timing(platform::node_settings const& settings);
watch_timing runner_watch_timing(platform::node_settings const& settings);
watch_timing member_watch_timing();

//! Crash records are needed at the start only.
watch_timing crash_records_timing();

//! The bound on evacuations must be set.
watch_timing evacuation_watch_timing(platform::node_settings const& settings);

} // namespace buckthornvale::gateway::store

#endif
