#include <buckthornvale/http/text.hpp>
#include <buckthornvale/serving/http/caller_codec.hpp>
#include <buckthornvale/serving/http/http_front.hpp>
#include <buckthornvale/serving/http/key_digest.hpp>

#include <absl/strings/numbers.h>

namespace buckthornvale::serving::http
{

namespace requests = decision::requests;

using buckthornvale::http::request_head;
using decision::error;
using decision::error_kind;

namespace
{

constexpr char json_type[] = "application/json";
constexpr char event_type[] = "text/event-stream";
constexpr char text_type[] = "text/plain; charset=utf-8";

//! Advice to callers that this VM refuses for want of room.
constexpr std::chrono::milliseconds busy_retry_after{200};

//! Bounds how late a limit of a connection is noticed.
constexpr std::chrono::milliseconds tick_period{20};

requests::answer refusal(error failure)
{
    requests::answer value;
    value.failure = std::move(failure);
    if (value.failure.kind == error_kind::overloaded)
        value.retry_after = busy_retry_after;
    return value;
}

error error_of(net::rejection reason)
{
    switch (reason)
    {
    case net::rejection::body_too_large:
        return {error_kind::body_too_large, "the limit is 1 MB"};
    case net::rejection::header_too_large:
        return {error_kind::malformed_request,
                "the request line and headers exceed 16 KB; shorten them"};
    case net::rejection::header_too_slow:
    case net::rejection::body_too_slow:
        return {error_kind::malformed_request,
                "the request did not arrive within the time limit; send it "
                "without pauses"};
    case net::rejection::too_many_connections:
    case net::rejection::out_of_memory:
        return {error_kind::overloaded,
                "this VM has no room left for a connection"};
    case net::rejection::malformed:
        break;
    }
    return {error_kind::malformed_request,
            "malformed HTTP; see the caller interface"};
}

std::string head_of(int status, std::string_view type)
{
    std::string out;
    buckthornvale::http::append_status_line(out, status);
    buckthornvale::http::append_header(out, "Content-Type", type);
    return out;
}

void answer(net::server_connection& to, int status, std::string_view type,
            std::string_view body)
{
    to.answer(head_of(status, type), body);
}

std::string_view header_of(request_head const& head, std::string_view name)
{
    return buckthornvale::http::find_header(head.headers, name)
        .value_or(std::string_view());
}

std::string_view query_of(request_head const& head)
{
    return buckthornvale::http::split_once(head.target, '?').second;
}

//! False when the parameter is there and is no time; without it the query
//! looks in the present time window only.
bool read_issued_at(request_head const& head, requests::outcome_queried& query)
{
    auto const text =
        buckthornvale::http::query_parameter(query_of(head), "issued_at_ms");
    if (!text)
        return true;
    std::int64_t ms = 0;
    if (!absl::SimpleAtoi(*text, &ms) || ms < 0)
        return false;
    query.issued_at = decision::wall_time(std::chrono::milliseconds(ms));
    return true;
}

//! Reads the query of `key`; an error names the field and the remedy.
error read_query(request_head const& head, std::string_view key,
                 requests::outcome_queried& query)
{
    query.organisation =
        buckthornvale::http::query_parameter(query_of(head), "organisation")
            .value_or("");
    query.idempotency_key = key;
    auto const bearer = bearer_key(header_of(head, "Authorization"));
    if (bearer.empty())
        return {error_kind::unauthenticated, ""};
    if (!is_plain_name(query.organisation))
        return {error_kind::malformed_request,
                "query parameter 'organisation' must be the name of the "
                "organisation"};
    if (!is_plain_name(query.idempotency_key))
        return {error_kind::malformed_request,
                "the key in the path must have 1 to 128 letters, digits or "
                "._:~-"};
    if (!read_issued_at(head, query))
        return {error_kind::malformed_request,
                "query parameter 'issued_at_ms' must be the time of issue "
                "that was sent with the key"};
    query.key_sha256 = key_digest(bearer);
    return {};
}

} // namespace

net::server_limits default_front_limits()
{
    net::server_limits out;
    out.max_header_bytes = std::size_t{16} * 1024;
    out.max_body_bytes = std::size_t{1024} * 1024;
    out.header_timeout = std::chrono::seconds(10);
    out.receive_timeout = std::chrono::seconds(10);
    out.idle_timeout = std::chrono::seconds(5);
    out.max_connections = 512;
    return out;
}

http_front::http_front(front_settings settings, front_callbacks callbacks,
                       request_sink& sink)
    : settings_(std::move(settings)), callbacks_(std::move(callbacks)),
      sink_(sink), server_(
                       loop_.loop(), *this, [this] { return settings_.server; },
                       net::steady_now)
{
}

http_front::~http_front()
{
    stop_accepting();
    finish();
    loop_.stop();
}

bool http_front::start()
{
    try
    {
        server_.listen(settings_.address, settings_.port);
    }
    catch (asio::system_error const&)
    {
        return false;
    }
    port_ = server_.port();
    started_ = true;
    loop_.start(tick_period,
                [this](decision::time_point now) { check_times(now); });
    return true;
}

void http_front::check_times(decision::time_point now)
{
    server_.check_limits(now);
    if (!stopping_ || finish_told_ || server_.connections() > 0)
        return;
    finish_told_ = true;
    finished_.set_value();
}

void http_front::stop_accepting()
{
    loop_.post(
        [this]
        {
            if (stopping_)
                return;
            stopping_ = true;
            server_.stop_listening();
            server_.finish_all();
        });
}

void http_front::finish()
{
    if (started_)
        finished_.get_future().wait();
    started_ = false;
}

bool http_front::is_waiting(decision::request_id id) const
{
    std::lock_guard const lock(mutex_);
    return waiting_.contains(id);
}

std::size_t http_front::waiting() const
{
    std::lock_guard const lock(mutex_);
    return waiting_.size();
}

bool http_front::deliver(requests::send_token const& message)
{
    if (!is_waiting(message.request))
        return false;
    loop_.post([this, message] { send(message); });
    return true;
}

bool http_front::deliver(requests::send_answer const& message)
{
    if (!is_waiting(message.request))
        return false;
    loop_.post([this, message] { send(message); });
    return true;
}

decision::request_id http_front::next_id()
{
    return {settings_.incarnation, ++counter_};
}

std::optional<decision::request_id>
http_front::open_session(net::server_connection& from, open_request value)
{
    value.connection = from.id();
    auto const id = next_id();
    {
        std::lock_guard const lock(mutex_);
        if (waiting_.size() < settings_.max_waiting)
            waiting_.insert(id);
        else
            value.connection = 0;
    }
    if (value.connection == 0)
    {
        refuse(from,
               {error_kind::overloaded, "this VM has too many waiting callers"},
               value.organisation);
        return std::nullopt;
    }
    by_connection_[from.id()] = id;
    requests_.emplace(id, std::move(value));
    return id;
}

void http_front::close_session(decision::request_id id)
{
    auto const found = requests_.find(id);
    if (found == requests_.end())
        return;
    by_connection_.erase(found->second.connection);
    requests_.erase(found);
    std::lock_guard const lock(mutex_);
    waiting_.erase(id);
}

void http_front::on_caller_left(net::server_connection& from)
{
    auto const found = by_connection_.find(from.id());
    if (found == by_connection_.end())
        return;
    auto const id = found->second;
    close_session(id);
    sink_.gone({id});
}

std::optional<net::rejection_answer>
http_front::on_rejected(net::rejection reason)
{
    if (reason == net::rejection::header_too_slow)
        return std::nullopt;
    auto const value = refusal(error_of(reason));
    return net::rejection_answer{status_of_answer(value), json_type,
                                 encode_answer(value, {next_id(), ""})};
}

void http_front::refuse(net::server_connection& to, error failure,
                        std::string const& organisation,
                        std::optional<int> status)
{
    auto const value = refusal(std::move(failure));
    answer(to, status.value_or(status_of_answer(value)), json_type,
           encode_answer(value, {next_id(), organisation}));
}

void http_front::on_request(net::server_connection& from, request_head& head,
                            std::string& body)
{
    constexpr int not_found = 404;
    auto const target = find_target(head.method, head.path());
    switch (target.endpoint)
    {
    case front_endpoint::request:
        serve_request(from, head, target.name, body);
        break;
    case front_endpoint::outcome:
        serve_query(from, head, target.name);
        break;
    case front_endpoint::unknown:
        refuse(from,
               {error_kind::malformed_request,
                "no such endpoint; see the caller interface"},
               "", not_found);
        break;
    default:
        serve_operator(from, head, target.endpoint);
        break;
    }
}

bool http_front::is_operator(net::server_connection const& from,
                             request_head const& head) const
{
    if (settings_.operator_key_sha256.empty())
        return from.remote_address().is_loopback();
    auto const key = bearer_key(header_of(head, "Authorization"));
    return !key.empty() &&
           same_digest(key_digest(key), settings_.operator_key_sha256);
}

void http_front::serve_operator(net::server_connection& from,
                                request_head const& head,
                                front_endpoint endpoint)
{
    constexpr int accepted = 202;
    constexpr int unavailable = 503;
    bool const restricted =
        endpoint == front_endpoint::status || endpoint == front_endpoint::drain;
    if (restricted && !is_operator(from, head))
    {
        refuse(from,
               {error_kind::forbidden, "status and draining are for operators"},
               "");
        return;
    }
    switch (endpoint)
    {
    case front_endpoint::health:
        answer(from, buckthornvale::http::status_ok, text_type, "live\n");
        break;
    case front_endpoint::readiness:
        if (callbacks_.ready())
            answer(from, buckthornvale::http::status_ok, text_type, "ready\n");
        else
            answer(from, unavailable, text_type, "not ready\n");
        break;
    case front_endpoint::metrics:
        answer(from, buckthornvale::http::status_ok, text_type,
               callbacks_.metrics());
        break;
    case front_endpoint::status:
        answer(from, buckthornvale::http::status_ok, json_type,
               callbacks_.status());
        break;
    default:
        callbacks_.drain();
        answer(from, accepted, json_type, R"({"draining":true})");
        break;
    }
}

void http_front::serve_request(net::server_connection& from,
                               request_head const& head,
                               std::string_view pipeline, std::string_view body)
{
    auto parsed =
        parse_caller_request(pipeline, header_of(head, "Authorization"), body);
    if (auto* const failure = std::get_if<error>(&parsed))
    {
        refuse(from, std::move(*failure), "");
        return;
    }
    auto& call = std::get<requests::caller_request>(parsed);
    open_request session;
    session.organisation = call.organisation;
    session.stream = call.stream;
    if (auto const id = open_session(from, std::move(session)))
        sink_.submit({*id, std::move(call), callbacks_.wall_now()});
}

void http_front::serve_query(net::server_connection& from,
                             request_head const& head, std::string_view key)
{
    requests::outcome_queried query;
    query.received_at = callbacks_.wall_now();
    auto failure = read_query(head, key, query);
    if (failure.kind != error_kind::none)
    {
        refuse(from, std::move(failure), "");
        return;
    }
    open_request session;
    session.organisation = query.organisation;
    session.is_query = true;
    auto const id = open_session(from, std::move(session));
    if (!id)
        return;
    query.request = *id;
    sink_.ask(std::move(query));
}

void http_front::send(requests::send_token const& message)
{
    auto const found = requests_.find(message.request);
    if (found == requests_.end() || !found->second.stream)
        return;
    auto& it = found->second;
    auto* const to = server_.find(it.connection);
    if (to == nullptr)
        return;
    // The status is known with the first reply: an answer that comes without
    // any token gives its own.
    if (!std::exchange(it.started, true))
        to->start_answer(head_of(buckthornvale::http::status_ok, event_type));
    to->send_part(encode_event("token", encode_token(message)));
    if (to->queued() <= settings_.max_pending_bytes)
        return;
    // The caller reads more slowly than the tokens come.
    close_session(message.request);
    to->abort();
    sink_.gone({message.request});
}

void http_front::send(requests::send_answer const& message)
{
    auto const found = requests_.find(message.request);
    if (found == requests_.end())
        return;
    auto const session = found->second;
    close_session(message.request);
    auto* const to = server_.find(session.connection);
    if (to == nullptr)
        return;
    auto const text =
        encode_answer(message.body, {message.request, session.organisation});
    auto const status = session.is_query ? status_of_query(message.body)
                                         : status_of_answer(message.body);
    if (!session.stream)
    {
        answer(*to, status, json_type, text);
        return;
    }
    if (!session.started)
        to->start_answer(head_of(status, event_type));
    to->send_part(encode_event("end", text));
    to->end_answer();
}

} // namespace buckthornvale::serving::http
