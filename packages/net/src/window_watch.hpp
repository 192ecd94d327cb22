#ifndef BUCKTHORNVALE_NET_SRC_WINDOW_WATCH_HPP
#define BUCKTHORNVALE_NET_SRC_WINDOW_WATCH_HPP

#include <buckthornvale/net/clock.hpp>

#include <optional>

namespace buckthornvale::net
{

//! What the kernel knows of the bytes that were written to a connection.
struct send_state
{
    int unacknowledged_bytes = 0;    //!< also those that were not sent yet
    unsigned segments_in_flight = 0; //!< sent and not acknowledged
    unsigned unanswered_probes = 0;  //!< of a closed receive window
    duration since_last_ack{};
};

//! Decides how long a connection may go on while its peer is alive but takes no
//! bytes. The kernel's limit, TCP_USER_TIMEOUT, also counts the time for which
//! the receive window of the peer is closed, although the peer acknowledges
//! each probe. While it does, the limit is moved on.
class window_watch
{
public:
    explicit window_watch(duration send_timeout) : send_timeout_(send_timeout)
    {
    }

    //! Returns the limit for the kernel; nullopt to leave it as it is.
    std::optional<duration> limit(send_state const& state, time_point now);

private:
    duration const send_timeout_;

    //! First time at which the window was closed since all was acknowledged. It
    //! may have opened in between: the kernel goes on to count the time if it
    //! did not open far enough for the next segment.
    std::optional<time_point> closed_since_;
};

} // namespace buckthornvale::net

#endif
