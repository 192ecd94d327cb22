#ifndef BUCKTHORNVALE_DAEMON_STATUS_TEXT_HPP
#define BUCKTHORNVALE_DAEMON_STATUS_TEXT_HPP

#include <buckthornvale/decision/reducer/reducer.hpp>
#include <buckthornvale/peer/link/peer_link.hpp>

#include <string>

namespace buckthornvale::daemon
{

//! Status of a VM as JSON, for GET /v1/status and its status object.
std::string status_text(std::string const& vm, std::uint64_t incarnation,
                        decision::reducer_status const& status,
                        peer::link_counters const& links);

} // namespace buckthornvale::daemon

#endif
