#include "window_watch.hpp"

namespace buckthornvale::net
{

namespace
{

//! One probe, or its answer, may be on its way or lost.
constexpr unsigned tolerated_probes = 1;

//! Bytes wait to be sent and the kernel sends none: the window is full.
bool is_window_closed(send_state const& state)
{
    return state.segments_in_flight == 0;
}

} // namespace

std::optional<duration> window_watch::limit(send_state const& state,
                                            time_point now)
{
    if (state.unacknowledged_bytes == 0)
    {
        // All was acknowledged: restores the usual limit after a pause.
        bool const was_closed = closed_since_.has_value();
        closed_since_.reset();
        return was_closed ? std::optional<duration>(send_timeout_)
                          : std::nullopt;
    }
    if (!closed_since_ && !is_window_closed(state))
        return std::nullopt;
    if (!closed_since_)
        closed_since_ = now;
    // The peer no longer answers: the present limit ends the connection.
    if (is_window_closed(state) && state.unanswered_probes > tolerated_probes)
        return std::nullopt;
    if (!is_window_closed(state) && state.since_last_ack >= send_timeout_)
        return send_timeout_;
    // The peer is alive: moves the limit on.
    return now - *closed_since_ + send_timeout_;
}

} // namespace buckthornvale::net
