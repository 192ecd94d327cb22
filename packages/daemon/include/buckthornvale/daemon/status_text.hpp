#ifndef BUCKTHORNVALE_DAEMON_STATUS_TEXT_HPP
#define BUCKTHORNVALE_DAEMON_STATUS_TEXT_HPP

#include <buckthornvale/decision/reducer/reducer.hpp>
#include <buckthornvale/peer/link/peer_link.hpp>

#include <string>

namespace buckthornvale::daemon
{

//! Status of a VM as JSON.
struct status_texts
{
    std::string page; //!< for GET /v1/status
    //! For the status object: without the members. They are 50 bytes each, so
    //! that 1,040 of them were 10 KB/s per VM.
    std::string stored;
};

status_texts make_status(std::string const& vm, std::uint64_t incarnation,
                         decision::reducer_status const& status,
                         peer::link_counters const& links);

} // namespace buckthornvale::daemon

#endif
