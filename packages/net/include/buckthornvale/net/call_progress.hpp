#ifndef BUCKTHORNVALE_NET_CALL_PROGRESS_HPP
#define BUCKTHORNVALE_NET_CALL_PROGRESS_HPP

#include <buckthornvale/net/clock.hpp>

#include <cstddef>
#include <optional>

namespace buckthornvale::net
{

//! How a message has to arrive that may be too large for its link to carry it
//! within the timeout of a call. Bytes that arrive are a sign of life.
struct transfer_pace
{
    duration max_silence{};     //!< between two parts of the answer
    double min_bytes_per_s = 0; //!< on average; guards against a trickle
};

//! Decides when a call is overdue. Without a pace, the timeout bounds the whole
//! call. With one, it bounds the time from the last part of the request that
//! the server has acknowledged to the first byte of the answer's body, and the
//! pace bounds the rest of it: a server may send the head long before.
class call_progress
{
public:
    void start(duration timeout, std::optional<transfer_pace> const& pace,
               time_point now);

    //! `bytes` of the request were handed to the kernel. Fewer than fit into
    //! the receive buffer of any server are taken for delivered.
    void sent(std::size_t bytes);

    //! True if it matters when parts of the answer arrive.
    bool is_paced() const { return pace_.has_value(); }

    //! True while it matters how much of the request is unacknowledged.
    bool is_sending() const { return unacknowledged_bytes_ > 0; }

    void note_unacknowledged(std::size_t bytes, time_point now);
    void received(std::size_t body_bytes, time_point now);
    bool is_overdue(time_point now) const;

private:
    duration timeout_{};
    std::optional<transfer_pace> pace_;
    time_point deadline_{}; //!< of the first body byte, or the whole answer
    std::size_t unacknowledged_bytes_ = 0;
    std::size_t received_bytes_ = 0;
    time_point first_received_at_{};
    time_point last_received_at_{};
};

} // namespace buckthornvale::net

#endif
