#include <buckthornvale/net/clock.hpp>
#include <buckthornvale/net/endpoint.hpp>
#include <buckthornvale/serving/upstream/runner_call.hpp>
#include <buckthornvale/serving/upstream/runner_request.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace buckthornvale::serving::upstream
{

namespace requests = decision::requests;

using requests::attempt_ended;
using requests::attempt_outcome;

namespace
{

constexpr int ok_status = 200;
constexpr int refused_status = 503;

//! Most of a runner's error text that is kept for logs.
constexpr std::size_t max_detail = 200;

char const* text_of(net::call_failure failure)
{
    switch (failure)
    {
    case net::call_failure::not_sent:
        return "no connection";
    case net::call_failure::no_answer:
        return "connection lost before an answer";
    case net::call_failure::broken_off:
        return "connection lost within the answer";
    case net::call_failure::timed_out:
        break;
    }
    return "the budget passed";
}

} // namespace

runner_call::runner_call(requests::start_attempt attempt,
                         call_limits const& limits, decision::time_point now,
                         token_handler on_token, end_handler on_end)
    : attempt_(std::move(attempt)), limits_(limits),
      on_token_(std::move(on_token)), on_end_(std::move(on_end)), begin_(now),
      events_(limits.max_event_bytes,
              [this](std::string_view name, std::string_view data)
              { return take_event(name, data); })
{
}

void runner_call::start(net::http_client& client, decision::time_point now)
{
    auto const left = attempt_.budget - (now - begin_);
    if (left <= decision::duration::zero())
    {
        end(attempt_outcome::not_started, "the budget passed before the call");
        return;
    }
    auto options = own_connection(left);
    options.connect_timeout =
        std::min<decision::duration>(left, limits_.connect);
    auto const address = net::endpoint_text(attempt_.host, attempt_.port);
    auto const engine = attempt_.kind == decision::runner_kind::engine;
    auto body = std::make_shared<std::string const>(encode_attempt(attempt_));
    auto head = encode_runner_head("POST", engine ? "/v1/run" : "/v1/call",
                                   address, body->size());
    client_ = &client;
    call_ =
        client.call(address, std::move(head), std::move(body), options, *this);
}

attempt_ended runner_call::ended(attempt_outcome result,
                                 std::string detail) const
{
    attempt_ended value;
    value.call = attempt_.attempt;
    value.answered_attempt = attempt_.attempt;
    value.result = result;
    value.detail = std::move(detail);
    value.took = net::steady_now() - begin_;
    return value;
}

void runner_call::finish(attempt_ended value)
{
    if (std::exchange(finished_, true))
        return;
    if (client_ != nullptr)
        client_->cancel(call_);
    on_end_(std::move(value));
}

void runner_call::end(attempt_outcome result, std::string detail,
                      bool runner_crashed)
{
    auto value = ended(result, std::move(detail));
    value.runner_crashed = runner_crashed;
    finish(std::move(value));
}

bool runner_call::take_event(std::string_view name, std::string_view data)
{
    if (name == "token")
    {
        auto token = parse_token(data);
        if (!token)
        {
            fault_ = "a token event is malformed";
            return false;
        }
        token->call = attempt_.attempt;
        on_token_(std::move(*token));
    }
    else if (name == "end")
    {
        stream_end_ = parse_stream_end(data);
        if (!stream_end_)
            fault_ = "the end event is malformed";
    }
    // Nothing after the end event is of use; unknown events are skipped.
    return name != "end";
}

net::response_match
runner_call::on_answer_head(buckthornvale::http::response_head const& head)
{
    status_ = head.status;
    return net::response_match::expected;
}

bool runner_call::on_answer_body(std::string_view bytes)
{
    if (attempt_.stream && status_ == ok_status)
    {
        bool const go_on = events_.feed(bytes);
        if (!go_on && !stream_end_ && fault_.empty())
            fault_ = "an event exceeds the size bound";
    }
    else
    {
        body_.append(bytes);
        if (body_.size() > limits_.max_answer_bytes)
            fault_ = "the answer exceeds the size bound";
    }
    if (stream_end_ || !fault_.empty())
        judge();
    return true;
}

void runner_call::on_answer_end()
{
    judge();
}

void runner_call::judge()
{
    if (stream_end_)
    {
        auto value = ended(attempt_outcome::completed, "");
        value.answered_attempt = stream_end_->attempt;
        value.token_count = stream_end_->count;
        finish(std::move(value));
    }
    else if (!fault_.empty())
        end(attempt_outcome::connection_lost, fault_);
    else if (status_ == refused_status && says_not_started(body_))
        end(attempt_outcome::not_started, "refused by the runner");
    else if (status_ != ok_status)
        end(attempt_outcome::rejected,
            absl::StrCat("status ", status_, ": ",
                         body_.substr(0, max_detail)));
    else if (attempt_.stream)
        end(attempt_outcome::connection_lost, "the stream has no end event");
    else if (auto answer = parse_answer(body_))
    {
        auto value = ended(attempt_outcome::completed, "");
        value.answered_attempt = answer->attempt;
        value.output = std::move(answer->output);
        finish(std::move(value));
    }
    else
        end(attempt_outcome::connection_lost,
            "the answer is not the documented JSON");
}

void runner_call::on_answer_failed(net::call_failure failure, bool reset)
{
    auto const detail =
        absl::StrCat(text_of(failure), ": ", attempt_.host, ":", attempt_.port);
    switch (failure)
    {
    case net::call_failure::not_sent:
        end(attempt_outcome::not_started, detail, reset);
        break;
    case net::call_failure::timed_out:
        end(attempt_outcome::timed_out, detail);
        break;
    case net::call_failure::no_answer:
    case net::call_failure::broken_off:
        end(attempt_outcome::connection_lost, detail, reset);
        break;
    }
}

} // namespace buckthornvale::serving::upstream
