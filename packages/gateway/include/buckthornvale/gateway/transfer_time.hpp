#ifndef BUCKTHORNVALE_GATEWAY_TRANSFER_TIME_HPP
#define BUCKTHORNVALE_GATEWAY_TRANSFER_TIME_HPP

#include <buckthornvale/net/call_progress.hpp>
#include <buckthornvale/platform/node_settings.hpp>

#include <cstddef>

namespace buckthornvale::gateway
{

//! Pace of calls to the store and to other VMs, whose messages can be as large
//! as a manifest: all of them share the link of this VM.
net::transfer_pace transfer_pace_of(platform::node_settings const& settings);

//! Time that the link of this VM takes for the bytes if it carries nothing
//! else; zero if its rate is not known.
net::duration transfer_time(std::size_t bytes,
                            platform::node_settings const& settings);

} // namespace buckthornvale::gateway

#endif
