#ifndef BUCKTHORNVALE_DECISION_GATEWAY_PIECE_QUEUE_HPP
#define BUCKTHORNVALE_DECISION_GATEWAY_PIECE_QUEUE_HPP

#include <buckthornvale/decision/gateway/stage_message.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace buckthornvale::decision::gateway
{

//! A queued piece with the VM that submitted it.
struct queued_piece
{
    std::string member;
    piece work;            //!< its relative times are not valid here
    std::uint64_t key = 0; //!< hash that identifies the piece across all VMs
    time_point queued_at{};
    time_point due{};
    time_point latest_start{}; //!< a start after it is too late to be useful
    time_point deadline{};
    dispatch_priority sort_priority; //!< first key of the dispatch order
    time_point sort_time{};          //!< second key of the dispatch order
    std::uint32_t attempts = 0;
};

//! Class of the piece at this time.
dispatch_priority priority_of(queued_piece const& it, time_point now);

//! Place of the piece within its class.
time_point sort_time_of(queued_piece const& it, bool deferred);

//! Pieces that wait for a runner of one stage service.
class piece_queue
{
public:
    using const_iterator = std::deque<queued_piece>::const_iterator;

    bool empty() const { return pieces_.empty(); }
    std::size_t size() const { return pieces_.size(); }
    const_iterator begin() const { return pieces_.begin(); }
    const_iterator end() const { return pieces_.end(); }

    void push(queued_piece it) { pieces_.push_back(std::move(it)); }

    //! Puts the pieces into the order in which they are dispatched.
    void sort(time_point now);

    //! Removes and returns all matching pieces.
    template <class Predicate>
    std::vector<queued_piece> extract(Predicate const& matches);

    //! Removes the first `max_pieces` matching pieces and appends them to
    //! `out`. Pieces behind the last one that is taken are not visited.
    template <class Predicate>
    void take(std::size_t max_pieces, Predicate const& matches,
              std::vector<queued_piece>& out);

private:
    std::deque<queued_piece> pieces_;
};

template <class Predicate>
std::vector<queued_piece> piece_queue::extract(Predicate const& matches)
{
    std::vector<queued_piece> out;
    take(pieces_.size(), matches, out);
    return out;
}

template <class Predicate>
void piece_queue::take(std::size_t max_pieces, Predicate const& matches,
                       std::vector<queued_piece>& out)
{
    std::size_t taken = 0;
    auto kept = pieces_.begin();
    auto next = kept;
    for (; next != pieces_.end() && taken < max_pieces; ++next)
        if (matches(*next))
        {
            out.push_back(std::move(*next));
            ++taken;
        }
        else
        {
            if (kept != next)
                *kept = std::move(*next);
            ++kept;
        }
    pieces_.erase(kept, next);
}

} // namespace buckthornvale::decision::gateway

#endif
