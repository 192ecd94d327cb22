#ifndef BUCKTHORNVALE_GATEWAY_SSE_SPLITTER_HPP
#define BUCKTHORNVALE_GATEWAY_SSE_SPLITTER_HPP

#include <string>
#include <string_view>

namespace buckthornvale::gateway
{

//! Cuts a stream of server-sent events into whole events without changing a
//! byte. What follows the last whole event is held back, so that a stream that
//! breaks off can go on elsewhere at an event.
class sse_splitter
{
public:
    //! Adds bytes and returns those that end with a whole event; valid until
    //! the next call.
    std::string_view feed(std::string_view bytes);

    //! Bytes of an event that is not whole.
    std::string_view incomplete_event() const;

    //! Id of the last whole event; empty without one.
    std::string const& last_event_id() const { return last_event_id_; }

private:
    void update_last_event_id(std::string_view events);

    std::string buffer_;
    std::size_t returned_bytes_ = 0; //!< returned by the last call
    std::string last_event_id_;
};

} // namespace buckthornvale::gateway

#endif
