#include <buckthornvale/net/call_progress.hpp>

#include <algorithm>

namespace buckthornvale::net
{

namespace
{

//! Shorter requests fit into the receive buffer of any server.
constexpr std::size_t unwatched_bytes = 16'384;

} // namespace

void call_progress::start(duration timeout,
                          std::optional<transfer_pace> const& pace,
                          time_point now)
{
    *this = {};
    timeout_ = timeout;
    pace_ = pace;
    deadline_ = now + timeout;
}

void call_progress::sent(std::size_t bytes)
{
    if (pace_ && bytes > unwatched_bytes)
        unacknowledged_bytes_ = bytes;
}

void call_progress::note_unacknowledged(std::size_t bytes, time_point now)
{
    if (bytes >= unacknowledged_bytes_)
        return;
    unacknowledged_bytes_ = bytes;
    deadline_ = std::max(deadline_, now + timeout_);
}

void call_progress::received(std::size_t body_bytes, time_point now)
{
    if (received_bytes_ == 0)
        first_received_at_ = now;
    received_bytes_ += body_bytes;
    last_received_at_ = now;
}

bool call_progress::is_overdue(time_point now) const
{
    if (!pace_ || received_bytes_ == 0)
        return now >= deadline_;
    duration const allowed =
        pace_->max_silence + decision::from_seconds(double(received_bytes_) /
                                                    pace_->min_bytes_per_s);
    return now - last_received_at_ >= pace_->max_silence ||
           now - first_received_at_ >= allowed;
}

} // namespace buckthornvale::net
