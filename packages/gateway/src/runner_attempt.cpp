#include <buckthornvale/gateway/runner_attempt.hpp>

namespace buckthornvale::gateway
{

namespace
{

using decision::gateway::attempt_ended;
using decision::gateway::attempt_outcome;

} // namespace

runner_attempt::runner_attempt(listener& owner,
                               decision::gateway::request_ref request,
                               std::uint32_t number, std::string request_id,
                               bool stream)
    : owner_(owner), request_(request), number_(number),
      request_id_(std::move(request_id)), stream_(stream)
{
}

bool runner_attempt::on_answer_head(http::response_head const& head)
{
    auto const answer = platform::decode_runner_response(head);
    // A late second answer to an earlier request on the connection.
    if (!answer.request_id.empty() && answer.request_id != request_id_)
        return false;
    has_head_ = true;
    head_ = head;
    answer_ = answer;
    streaming_ = stream_ && head.status == http::status_ok && answer.sealed &&
                 !answer.content_encoded && answer.request_id == request_id_;
    return true;
}

void runner_attempt::on_answer_body(std::string_view bytes)
{
    if (!streaming_)
    {
        body_.append(bytes);
        return;
    }
    auto const events = splitter_.feed(bytes);
    if (!events.empty())
        owner_.on_events(*this, events);
}

attempt_ended runner_attempt::outcome_base() const
{
    attempt_ended out;
    out.request = request_;
    out.attempt = number_;
    out.load = answer_.load;
    out.last_event_id = splitter_.last_id();
    if (has_head_)
    {
        out.status = head_.status;
        out.other_runner = answer_.misdirected;
        out.sealed = answer_.sealed && !answer_.content_encoded &&
                     answer_.request_id == request_id_;
    }
    return out;
}

void runner_attempt::on_answer_end()
{
    auto out = outcome_base();
    out.outcome = answer_.not_executed ? attempt_outcome::refused
                                       : attempt_outcome::answered;
    if (streaming_)
        body_ = splitter_.rest();
    owner_.on_attempt_ended(*this, out);
}

void runner_attempt::on_answer_failed(net::call_failure failure, bool reset)
{
    auto out = outcome_base();
    out.reset = reset;
    if (has_head_ && answer_.not_executed)
        out.outcome = attempt_outcome::refused;
    else if (failure == net::call_failure::not_sent)
        out.outcome = attempt_outcome::not_sent;
    else
        out.outcome = has_head_ ? attempt_outcome::broken_off
                                : attempt_outcome::no_answer;
    owner_.on_attempt_ended(*this, out);
}

} // namespace buckthornvale::gateway
