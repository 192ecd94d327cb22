#include <buckthornvale/serving/upstream/event_parser.hpp>
#include <buckthornvale/serving/upstream/runner_call.hpp>
#include <buckthornvale/serving/upstream/runner_codec.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace buckthornvale::serving::upstream
{

namespace requests = decision::requests;

using requests::attempt_ended;
using requests::attempt_outcome;
using steady = std::chrono::steady_clock;

namespace
{

constexpr int ok_status = 200;
constexpr int refused_status = 503;

//! Added to the socket's time-outs, so that the owner's stop ends a call whose
//! budget passed. A time-out of the socket looks like a lost connection, which
//! would blame a slow runner for a crash.
constexpr std::chrono::seconds io_margin{5};

//! Most of a runner's error text that is kept for logs.
constexpr std::size_t max_detail = 200;

//! Errors that cpp-httplib 0.11.4 gives only while it creates and connects
//! the socket, before it writes the request (docs/notes/serving.md).
bool failed_before_writing(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout;
}

} // namespace

//! What was received of one answer.
struct runner_call::exchange
{
    int status = 0;
    std::string body;
    std::optional<stream_end> end;
    std::string fault; //!< why receiving was given up; empty: it was not
};

runner_call::runner_call(requests::start_attempt attempt,
                         call_limits const& limits, token_handler on_token)
    : attempt_(std::move(attempt)), limits_(limits),
      on_token_(std::move(on_token)), begin_(steady::now()),
      deadline_(begin_ + attempt_.budget), client_(attempt_.host, attempt_.port)
{
    client_.set_keep_alive(false);
    client_.set_follow_location(false);
    client_.set_decompress(false);
    client_.set_tcp_nodelay(true);
}

std::chrono::microseconds runner_call::left() const
{
    auto const value = std::chrono::duration_cast<std::chrono::microseconds>(
        deadline_ - steady::now());
    return std::max(value, std::chrono::microseconds(0));
}

void runner_call::stop(stop_reason reason)
{
    auto expected = stop_reason::none;
    reason_.compare_exchange_strong(expected, reason);
    client_.stop();
}

attempt_ended runner_call::ended(attempt_outcome result,
                                 std::string detail) const
{
    attempt_ended value;
    value.call = attempt_.attempt;
    value.answered = attempt_.attempt;
    value.result = result;
    value.detail = std::move(detail);
    value.took = steady::now() - begin_;
    return value;
}

bool runner_call::take_event(exchange& seen, std::string_view name,
                             std::string_view data) const
{
    if (name == "token")
    {
        auto token = parse_token(data);
        if (!token)
        {
            seen.fault = "a token event is malformed";
            return false;
        }
        token->call = attempt_.attempt;
        on_token_(std::move(*token));
    }
    else if (name == "end")
    {
        seen.end = parse_stream_end(data);
        if (!seen.end)
            seen.fault = "the end event is malformed";
    }
    // Nothing after the end event is of use; unknown events are skipped.
    return name != "end";
}

attempt_ended runner_call::run()
{
    if (reason_ == stop_reason::cancelled)
        return ended(attempt_outcome::cancelled, "cancelled before the call");
    if (left().count() == 0)
        return ended(attempt_outcome::not_started,
                     "the budget passed before the call");
    client_.set_connection_timeout(
        std::min<std::chrono::microseconds>(left(), limits_.connect));
    client_.set_read_timeout(left() + io_margin);
    client_.set_write_timeout(left() + io_margin);

    exchange seen;
    event_parser events(limits_.max_event_bytes,
                        [&](std::string_view name, std::string_view data)
                        { return take_event(seen, name, data); });
    auto const engine = attempt_.kind == decision::runner_kind::engine;
    httplib::Request request;
    request.method = "POST";
    request.path = engine ? "/v1/run" : "/v1/call";
    request.body = encode_attempt(attempt_);
    request.set_header("Content-Type", "application/json");
    request.set_header("Accept-Encoding", "identity");
    request.response_handler = [&](httplib::Response const& response)
    {
        seen.status = response.status;
        return true;
    };
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (attempt_.stream && seen.status == ok_status)
        {
            auto const go_on = events.feed({data, size});
            if (!go_on && !seen.end && seen.fault.empty())
                seen.fault = "an event exceeds the size bound";
            return go_on;
        }
        seen.body.append(data, size);
        if (seen.body.size() > limits_.max_answer_bytes)
            seen.fault = "the answer exceeds the size bound";
        return seen.fault.empty();
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    client_.send(request, response, error);
    return judge(error, seen);
}

attempt_ended runner_call::judge(httplib::Error error,
                                 exchange const& seen) const
{
    if (seen.end)
    {
        auto value = ended(attempt_outcome::completed, "");
        value.answered = seen.end->attempt;
        value.token_count = seen.end->count;
        return value;
    }
    if (failed_before_writing(error))
    {
        auto value = ended(attempt_outcome::not_started,
                           absl::StrCat("no connection to ", attempt_.host, ":",
                                        attempt_.port));
        value.runner_crashed = error == httplib::Error::Connection;
        return value;
    }
    if (!seen.fault.empty())
        return ended(attempt_outcome::connection_lost, seen.fault);
    if (error != httplib::Error::Success)
    {
        if (reason_ == stop_reason::cancelled)
            return ended(attempt_outcome::cancelled, "cancelled");
        if (reason_ == stop_reason::timed_out || left().count() == 0)
            return ended(attempt_outcome::timed_out, "the budget passed");
        auto value =
            ended(attempt_outcome::connection_lost,
                  absl::StrCat("connection lost: ", httplib::to_string(error)));
        value.runner_crashed = true;
        return value;
    }
    if (seen.status == refused_status && says_not_started(seen.body))
        return ended(attempt_outcome::not_started, "refused by the runner");
    if (seen.status != ok_status)
        return ended(attempt_outcome::rejected,
                     absl::StrCat("status ", seen.status, ": ",
                                  seen.body.substr(0, max_detail)));
    if (attempt_.stream)
        return ended(attempt_outcome::connection_lost,
                     "the stream has no end event");
    auto answer = parse_answer(seen.body);
    if (!answer)
        return ended(attempt_outcome::connection_lost,
                     "the answer is not the documented JSON");
    auto value = ended(attempt_outcome::completed, "");
    value.answered = answer->attempt;
    value.output = std::move(answer->output);
    return value;
}

} // namespace buckthornvale::serving::upstream
