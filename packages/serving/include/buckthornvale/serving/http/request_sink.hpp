#ifndef BUCKTHORNVALE_SERVING_HTTP_REQUEST_SINK_HPP
#define BUCKTHORNVALE_SERVING_HTTP_REQUEST_SINK_HPP

#include <buckthornvale/decision/requests/caller_messages.hpp>

namespace buckthornvale::serving::http
{

//! Takes what callers send to the event loop. Called from many threads at
//! once; must not block.
class request_sink
{
public:
    virtual ~request_sink() = default;

    //! A request arrived; exactly one send_answer is owed for it.
    virtual void submit(decision::requests::request_received message) = 0;
    //! The caller of a submitted request left before its answer. An answer
    //! that is sent nevertheless is dropped.
    virtual void gone(decision::requests::caller_gone message) = 0;
    //! An outcome query; exactly one send_answer is owed for it.
    virtual void ask(decision::requests::outcome_queried message) = 0;
};

} // namespace buckthornvale::serving::http

#endif
