#ifndef BUCKTHORNVALE_DAEMON_EVENT_QUEUE_HPP
#define BUCKTHORNVALE_DAEMON_EVENT_QUEUE_HPP

#include <buckthornvale/decision/reducer/event.hpp>

namespace buckthornvale::daemon
{

//! Way into the decision thread. Thread-safe; does not block.
class event_queue
{
public:
    virtual ~event_queue() = default;
    virtual void post(decision::event value) = 0;
};

} // namespace buckthornvale::daemon

#endif
