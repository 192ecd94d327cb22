#include <buckthornvale/gateway/gateway_process.hpp>
#include <buckthornvale/http/text.hpp>

#include <algorithm>

namespace buckthornvale::gateway
{

namespace
{

using namespace std::chrono_literals;
namespace model = decision::gateway;
using decision::duration;

constexpr duration runner_connect_timeout = 300ms;

//! Added to the time that a request has left. The reducer enforces the
//! deadline; the timeout of the call only frees a connection that the reducer
//! missed.
constexpr duration call_timeout_margin = 500ms;

//! A connection that was idle longer is not reused for a request that must not
//! be retried, since the peer may have closed it.
constexpr duration max_reliable_idle = 5s;

//! Reading from a runner pauses when more bytes wait to be sent to the caller.
constexpr std::size_t max_queued_bytes = 262'144;

} // namespace

void gateway_process::execute(model::send_attempt const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr)
        return;
    platform::runner_headers headers;
    headers.expected_runner = effect.runner_id;
    headers.organisation = effect.organisation;
    headers.time_left = effect.time_left;
    headers.priority = effect.priority;
    headers.inputs = effect.inputs;
    headers.last_event_id = effect.last_event_id;
    net::call_options options;
    options.connect_timeout =
        std::min(runner_connect_timeout, effect.time_left);
    options.timeout = effect.time_left + call_timeout_margin;
    if (effect.reliable_connection)
        options.max_idle = max_reliable_idle;
    options.excluded_connections = it->used_connections;
    it->reading_paused = false;
    destroy_later(std::move(it->attempt));
    it->attempt = std::make_unique<runner_attempt>(
        *this, answer_memory_, effect.request, effect.attempt, effect.runner_id,
        it->request_id, effect.stream, effect.last_event_id);
    it->attempt->call = http_client_.call(
        effect.address,
        platform::encode_runner_request(it->head, it->body->size(), headers),
        it->body, options, *it->attempt);
    it->attempt->connection = http_client_.connection_of(it->attempt->call);
    it->used_connections.push_back(it->attempt->connection);
    metrics_.count_send();
    if (effect.expected_first_event)
        metrics_.observe_expected_first_event(*effect.expected_first_event);
}

void gateway_process::execute(model::cancel_attempt const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr || it->attempt == nullptr ||
        it->attempt->number() != effect.attempt)
        return;
    http_client_.cancel(it->attempt->call);
    destroy_later(std::move(it->attempt));
    // Nothing else follows for a request whose caller has left.
    if (!it->caller_present)
        erase_request(effect.request, "caller_left");
}

std::string
gateway_process::encode_response_head(http::response_head const& head) const
{
    std::string out;
    http::append_status_line(out, head.status);
    http::connection_headers const connection(head.headers);
    for (auto const& it : head.headers)
    {
        bool const framing =
            http::equals_ignoring_case(it.name, "content-length") ||
            connection.contains(it.name);
        if (!framing)
            http::append_header(out, it.name, it.value);
    }
    return out;
}

void gateway_process::start_stream(caller_request& it,
                                   net::server_connection& to,
                                   runner_attempt const& from)
{
    if (it.response_started)
        return;
    it.response_started = true;
    to.start_answer(encode_response_head(from.head()));
}

void gateway_process::on_sse_events(runner_attempt& from,
                                    std::string_view events)
{
    auto* it = find_request(from.request());
    if (it == nullptr || it->attempt.get() != &from)
        return;
    auto* to = find_connection(*it);
    if (to == nullptr)
        return;
    bool const first = !it->response_started;
    start_stream(*it, *to, from);
    to->send_part(events);
    if (to->queued() > max_queued_bytes && !it->reading_paused)
    {
        it->reading_paused = true;
        http_client_.pause(from.call);
        reduce(model::delivery_blocked{from.request(), true});
    }
    if (first)
        reduce(model::stream_started{from.request(), from.number(),
                                     from.response().load,
                                     from.last_event_id()});
    else
        reduce(model::stream_advanced{from.request(), from.number(),
                                      from.last_event_id()});
}

void gateway_process::on_runner_head(std::string const& runner_id,
                                     platform::runner_response const& response)
{
    if (response.invalid_retry_after)
        log("retry_after_ignored", {{"runner", runner_id}});
    if (response.has_notice() || reducer_.is_rate_limited(runner_id))
        reduce(model::runner_notified{runner_id, response.leaving,
                                      response.quiet_time,
                                      response.rate_limit});
}

void gateway_process::on_answer_discarded(
    runner_attempt const& from, int status,
    platform::runner_response const& response)
{
    log_writer_.write({"answer_discarded",
                       from.request_id(),
                       {{"runner", from.runner_id()},
                        {"connection", std::to_string(from.connection)},
                        {"names", response.request_id},
                        {"status", std::to_string(status)}}},
                      now());
}

void gateway_process::on_answer_too_large(runner_attempt const& from,
                                          std::size_t bytes)
{
    log_writer_.write(
        {"answer_too_large",
         from.request_id(),
         {{"runner", from.runner_id()},
          {"bytes", std::to_string(bytes)},
          {"held_bytes", std::to_string(answer_memory_->reserved())}}},
        now());
}

void gateway_process::on_attempt_ended(runner_attempt& from,
                                       model::attempt_ended const& outcome)
{
    auto* it = find_request(from.request());
    if (it == nullptr || it->attempt.get() != &from)
        return;
    bool const present = it->caller_present;
    auto const ref = from.request();
    reduce(outcome);
    // The request may wait for stages, or for a runner, with no attempt.
    if (!present)
        erase_request(ref, "caller_left");
    else if (it = find_request(ref);
             it != nullptr && it->attempt.get() == &from)
        destroy_later(std::move(it->attempt));
}

void gateway_process::execute(model::deliver_answer const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr || it->attempt == nullptr)
        return;
    auto& attempt = *it->attempt;
    if (auto* to = find_connection(*it))
    {
        if (it->response_started)
        {
            to->send_part(attempt.body());
            to->end_answer();
        }
        else
            to->answer(encode_response_head(attempt.head()), attempt.body());
    }
    erase_request(effect.request, "answered");
}

void gateway_process::execute(model::refuse_request const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr)
        return;
    auto const* name = model::traits_of(effect.reason).name;
    metrics_.count_refusal(name, effect.route_rank);
    if (auto* to = find_connection(*it))
    {
        std::string head;
        http::append_status_line(head, effect.status);
        http::append_header(head, platform::request_id_header, it->request_id);
        if (effect.retry_after)
        {
            char buf[32];
            std::snprintf(buf, sizeof(buf), "%.3f",
                          decision::to_seconds(*effect.retry_after));
            http::append_header(head, platform::retry_after_header, buf);
        }
        http::append_header(head, "Content-Type", "text/plain");
        to->answer(std::move(head), name);
    }
    erase_request(effect.request, name);
}

void gateway_process::execute(model::abort_stream const& effect)
{
    auto* it = find_request(effect.request);
    if (it == nullptr)
        return;
    if (auto* to = find_connection(*it))
        to->abort();
    erase_request(effect.request, "aborted");
}

void gateway_process::execute(model::log_decision const& effect)
{
    log_writer_.write(effect, now());
}

void gateway_process::execute(model::close_idle_connections const& effect)
{
    http_client_.forget(effect.address);
}

void gateway_process::execute(model::send_to_peer const& effect)
{
    peer_sender_.send(effect.member, effect.address, effect.message);
}

} // namespace buckthornvale::gateway
