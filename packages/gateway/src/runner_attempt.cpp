#include <buckthornvale/gateway/runner_attempt.hpp>

namespace buckthornvale::gateway
{

namespace
{

namespace model = decision::gateway;

//! Maximum size of an answer that is not a stream.
constexpr std::size_t max_body_bytes = 8'388'608;

constexpr std::size_t max_event_bytes = 1'048'576;

model::body_framing framing_of(http::response_head const& head)
{
    if (head.body_ends_at_close)
        return model::body_framing::connection;
    return head.chunked ? model::body_framing::chunks
                        : model::body_framing::length;
}

model::transport_end transport_end_of(net::call_failure failure,
                                      bool head_received)
{
    if (failure == net::call_failure::not_sent)
        return model::transport_end::not_sent;
    return head_received ? model::transport_end::broken_off
                         : model::transport_end::no_answer;
}

} // namespace

runner_attempt::runner_attempt(listener& attempt_listener,
                               std::shared_ptr<answer_memory> memory,
                               decision::gateway::request_ref request,
                               std::uint32_t number, std::string runner_id,
                               std::string request_id, bool expects_stream,
                               std::string resumed_after)
    : listener_(attempt_listener), request_(request), number_(number),
      runner_id_(std::move(runner_id)), request_id_(std::move(request_id)),
      expects_stream_(expects_stream), resumed_after_(std::move(resumed_after)),
      memory_(std::move(memory))
{
}

net::response_match
runner_attempt::on_answer_head(http::response_head const& head)
{
    auto const response = platform::decode_runner_response(head);
    // A late duplicate response to an earlier request on this connection.
    bool const is_other =
        !response.request_id.empty() && response.request_id != request_id_;
    if (!is_other || response.has_notice())
        listener_.on_runner_head(runner_id_, response);
    if (is_other)
    {
        listener_.on_answer_discarded(*this, head.status, response);
        return net::response_match::other;
    }
    head_received_ = true;
    head_ = head;
    response_ = response;
    streaming_ = expects_stream_ && head.status == http::status_ok &&
                 response.sealed && !response.content_encoded &&
                 response.request_id == request_id_;
    return response.request_id.empty() ? net::response_match::unnamed
                                       : net::response_match::expected;
}

bool runner_attempt::on_answer_body(std::string_view bytes)
{
    auto const buffered =
        streaming_ ? splitter_.incomplete_event().size() : body_.size();
    auto const size = buffered + bytes.size();
    auto const max_size = streaming_ ? max_event_bytes : max_body_bytes;
    if (size > max_size || !memory_.resize(size))
    {
        listener_.on_answer_too_large(*this, size);
        return false;
    }
    if (!streaming_)
    {
        body_.append(bytes);
        return true;
    }
    auto const events = splitter_.feed(bytes);
    memory_.resize(splitter_.incomplete_event().size());
    // The runner began anew instead of resuming the stream.
    if (is_repeated_event(splitter_.first_event_id(), resumed_after_))
        return false;
    if (!events.empty())
    {
        has_events_ = true;
        listener_.on_sse_events(*this, events);
    }
    return true;
}

model::attempt_ended
runner_attempt::describe(model::transport_end transport) const
{
    model::attempt_ended out;
    out.request = request_;
    out.attempt = number_;
    out.connection = connection;
    out.transport = transport;
    out.load = response_.load;
    out.last_event_id = splitter_.last_event_id();
    out.event_stream = streaming_;
    out.has_events = has_events_;
    out.inside_event = splitter_.inside_event();
    if (head_received_)
    {
        out.framing = framing_of(head_);
        out.status = head_.status;
        out.identified = response_.request_id == request_id_;
        out.not_executed = response_.not_executed;
        out.misdirected = response_.misdirected;
        out.sealed =
            response_.sealed && !response_.content_encoded && out.identified;
    }
    return out;
}

void runner_attempt::on_answer_end()
{
    auto const out = describe(model::transport_end::complete);
    if (streaming_)
        body_ = splitter_.incomplete_event();
    listener_.on_attempt_ended(*this, out);
}

void runner_attempt::on_answer_failed(net::call_failure failure, bool reset)
{
    auto out = describe(transport_end_of(failure, head_received_));
    out.reset = reset;
    listener_.on_attempt_ended(*this, out);
}

} // namespace buckthornvale::gateway
