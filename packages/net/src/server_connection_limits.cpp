#include <buckthornvale/net/http_server.hpp>

#include <algorithm>

namespace buckthornvale::net
{

namespace
{

using namespace std::chrono_literals;

//! Time without input that a client has to read its response and close the
//! connection before the server closes it, which can reset it and discard
//! unread bytes.
constexpr duration linger_timeout = 1s;

} // namespace

void server_connection::check_limits(time_point now)
{
    auto const limits = server_.limits_();
    if (is_send_stalled(limits, now))
    {
        if (state_ == state::serving)
            server_.handler_.on_caller_left(*this);
        close_now();
    }
    else if (state_ == state::lingering && stream_->queued() == 0 &&
             (now - last_discarded_ > linger_timeout ||
              now - phase_start_ > limits.receive_timeout))
        close_now();
    else if (state_ == state::reading && held_input_.empty())
        check_receive_timeouts(limits, now);
}

void server_connection::check_receive_timeouts(server_limits const& limits,
                                               time_point now)
{
    auto const elapsed = now - phase_start_;
    if (!parser_.started())
    {
        auto const timeout = close_after_response_
                                 ? linger_timeout
                                 : std::max(idle_timeout_, limits.idle_timeout);
        if (elapsed > timeout)
            close_idle();
    }
    else if (!parser_.head_complete())
    {
        if (elapsed > limits.header_timeout)
            reject(rejection::header_too_slow);
    }
    else if (elapsed > limits.receive_timeout)
        reject(rejection::body_too_slow);
}

bool server_connection::is_send_stalled(server_limits const& limits,
                                        time_point now)
{
    auto const bytes_sent = stream_->written();
    if (stream_->queued() == 0 || bytes_sent != last_bytes_sent_)
    {
        if (stream_->queued() > 0)
            note_progress(bytes_sent - last_bytes_sent_);
        last_bytes_sent_ = bytes_sent;
        last_send_progress_ = now;
        return false;
    }
    return now - last_send_progress_ > limits.send_timeout;
}

} // namespace buckthornvale::net
