#ifndef BUCKTHORNVALE_GATEWAY_SSE_SPLITTER_HPP
#define BUCKTHORNVALE_GATEWAY_SSE_SPLITTER_HPP

#include <string>
#include <string_view>

namespace buckthornvale::gateway
{

//! Splits a stream of server-sent events at event boundaries without changing
//! any byte. An incomplete event is held back until its end arrives, so that an
//! interrupted stream can be resumed on another runner at an event boundary.
class sse_splitter
{
public:
    //! Adds bytes to the buffer and returns all complete events in it. The view
    //! is valid until the next call.
    std::string_view feed(std::string_view bytes);

    //! Bytes after the last complete event.
    std::string_view incomplete_event() const;

    //! True if these bytes belong to an event. Blank lines and comments do not.
    bool inside_event() const;

    //! Id of the first complete event that had one; empty if none had.
    std::string const& first_event_id() const { return first_event_id_; }

    //! Id of the last complete event that had one; empty if none had.
    std::string const& last_event_id() const { return last_event_id_; }

private:
    void update_event_ids(std::string_view events);

    std::string buffer_;
    std::size_t returned_bytes_ = 0; //!< at the front, by the last call
    std::string first_event_id_;
    std::string last_event_id_;
};

//! True if an event with the first id was sent no later than one with the
//! second id. Ids of a stream are increasing numbers.
bool is_repeated_event(std::string_view id, std::string_view last_sent_id);

} // namespace buckthornvale::gateway

#endif
