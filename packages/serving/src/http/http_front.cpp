#include <buckthornvale/serving/http/caller_codec.hpp>
#include <buckthornvale/serving/http/http_front.hpp>
#include <buckthornvale/serving/http/key_digest.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace buckthornvale::serving::http
{

namespace requests = decision::requests;

using decision::error;
using decision::error_kind;
using httplib::Request;
using httplib::Response;

namespace
{

constexpr char json_type[] = "application/json";
constexpr char event_type[] = "text/event-stream";
constexpr char text_type[] = "text/plain; charset=utf-8";

//! Advice to callers that this VM refuses for lack of threads.
constexpr std::chrono::milliseconds busy_retry_after{200};

requests::answer refusal(error failure)
{
    requests::answer value;
    value.failure = std::move(failure);
    if (value.failure.kind == error_kind::overloaded)
        value.retry_after = busy_retry_after;
    return value;
}

std::string busy_response()
{
    auto const value = refusal({error_kind::overloaded,
                                "this VM has no thread left for a connection"});
    auto const body = encode_answer(value, {});
    return absl::StrCat("HTTP/1.1 503 Service Unavailable\r\n"
                        "Content-Type: application/json\r\n"
                        "Connection: close\r\nContent-Length: ",
                        body.size(), "\r\n\r\n", body);
}

//! The error of a request that cpp-httplib refused before any handler ran.
error unrouted_error(connection const* caller, int status)
{
    auto const fault =
        caller == nullptr ? receive_fault::none : caller->fault();
    if (fault == receive_fault::body_too_large || status == 413)
        return {error_kind::body_too_large, "the limit is 1 MB"};
    if (fault == receive_fault::head_too_large || status == 414)
        return {error_kind::malformed_request,
                "the request line and headers exceed 16 KB; shorten them"};
    if (fault == receive_fault::too_slow)
        return {error_kind::malformed_request,
                "the request did not arrive within the time limit; send it "
                "without pauses"};
    return {error_kind::malformed_request,
            "no such endpoint or malformed HTTP; see the caller interface"};
}

requests::send_answer const* as_answer(reply const& item)
{
    return std::get_if<requests::send_answer>(&item);
}

//! Writes the events of one streamed answer, starting with `first`.
class event_writer
{
public:
    event_writer(std::shared_ptr<caller_session> session,
                 std::string organisation, reply first)
        : session_(std::move(session)), organisation_(std::move(organisation)),
          next_(std::move(first))
    {
    }

    //! Writes the next event; false ends the connection.
    bool operator()(httplib::DataSink& sink)
    {
        auto* const caller = connection_server::current();
        if (!next_)
            next_ = session_->next(caller->socket());
        if (!next_)
        {
            caller->abandon();
            return false;
        }
        auto const item = *std::exchange(next_, std::nullopt);
        auto const text = encode(item);
        if (!sink.write(text.data(), text.size()))
            return false;
        if (as_answer(item) != nullptr)
            sink.done();
        return true;
    }

private:
    std::string encode(reply const& item) const
    {
        if (auto const* last = as_answer(item))
        {
            return encode_event(
                "end",
                encode_answer(last->body, {session_->id(), organisation_}));
        }
        return encode_event("token",
                            encode_token(std::get<requests::send_token>(item)));
    }

    std::shared_ptr<caller_session> session_;
    std::string organisation_;
    std::optional<reply> next_;
};

} // namespace

http_front::http_front(front_settings settings, front_callbacks callbacks,
                       request_sink& sink)
    : settings_(std::move(settings)), callbacks_(std::move(callbacks)),
      sink_(sink), replies_(settings_.max_waiting), server_(settings_.server)
{
    server_.set_busy_response(busy_response());
    add_caller_routes();
    add_operator_routes();
}

http_front::~http_front()
{
    stop_accepting();
    finish();
}

bool http_front::start()
{
    auto const& host = settings_.address;
    auto const bound =
        settings_.port == 0
            ? server_.bind_to_any_port(host)
            : (server_.bind_to_port(host, settings_.port) ? settings_.port
                                                          : -1);
    if (bound <= 0)
        return false;
    port_ = static_cast<std::uint16_t>(bound);
    server_.raise_backlog();
    listener_ = std::thread([this] { server_.listen_after_bind(); });
    return true;
}

bool http_front::deliver(requests::send_token const& message)
{
    return replies_.deliver(message);
}

bool http_front::deliver(requests::send_answer const& message)
{
    return replies_.deliver(message);
}

void http_front::stop_accepting()
{
    if (listener_.joinable())
        server_.stop_accepting();
}

void http_front::finish()
{
    if (listener_.joinable())
        listener_.join();
}

void http_front::add_caller_routes()
{
    server_.Post(R"(/v1/pipelines/([^/]+)/requests)",
                 [this](Request const& request, Response& response)
                 { handle_request(request, response); });
    server_.Get(R"(/v1/outcomes/([^/]+))",
                [this](Request const& request, Response& response)
                { handle_outcome(request, response); });
    server_.set_error_handler(httplib::Server::HandlerWithResponse(
        [this](Request const& request, Response& response)
        {
            if (!response.body.empty() || response.content_provider_)
                return httplib::Server::HandlerResponse::Unhandled;
            handle_unrouted(request, response);
            return httplib::Server::HandlerResponse::Handled;
        }));
    server_.set_post_routing_handler(
        [this](Request const&, Response& response)
        {
            if (server_.stopping())
                response.set_header("Connection", "close");
        });
}

void http_front::add_operator_routes()
{
    server_.Get("/healthz", [](Request const&, Response& response)
                { response.set_content("live\n", text_type); });
    server_.Get("/readyz",
                [this](Request const&, Response& response)
                {
                    auto const ready = callbacks_.ready();
                    response.status = ready ? 200 : 503;
                    response.set_content(ready ? "ready\n" : "not ready\n",
                                         text_type);
                });
    server_.Get("/metrics", [this](Request const&, Response& response)
                { response.set_content(callbacks_.metrics(), text_type); });
    server_.Get(
        "/v1/status",
        [this](Request const& request, Response& response)
        {
            if (is_operator(request))
                response.set_content(callbacks_.status(), json_type);
            else
                refuse({error_kind::forbidden, "the status is for operators"},
                       "", response);
        });
    server_.Post("/v1/drain",
                 [this](Request const& request, Response& response)
                 {
                     if (!is_operator(request))
                         return refuse({error_kind::forbidden,
                                        "draining is for operators"},
                                       "", response);
                     callbacks_.drain();
                     response.status = 202;
                     response.set_content(R"({"draining":true})", json_type);
                 });
}

bool http_front::is_operator(Request const& request) const
{
    if (settings_.operator_key_sha256.empty())
        return request.remote_addr == "127.0.0.1" ||
               request.remote_addr == "::1";
    auto const header = request.get_header_value("Authorization");
    auto const key = bearer_key(header);
    return !key.empty() &&
           same_digest(key_digest(key), settings_.operator_key_sha256);
}

decision::request_id http_front::next_id()
{
    return {settings_.incarnation, ++counter_};
}

void http_front::refuse(error failure, std::string const& organisation,
                        Response& response)
{
    auto const value = refusal(std::move(failure));
    response.status = status_of_answer(value);
    response.set_content(encode_answer(value, {next_id(), organisation}),
                         json_type);
}

void http_front::handle_unrouted(Request const&, Response& response)
{
    auto const status = response.status;
    refuse(unrouted_error(connection_server::current(), status), "", response);
    // An unknown path keeps its 404.
    if (status == 404)
        response.status = status;
}

std::shared_ptr<caller_session>
http_front::open_session(std::string const& organisation, Response& response)
{
    auto const id = next_id();
    auto channel = replies_.add(id, settings_.max_pending_bytes);
    if (channel)
        return std::make_shared<caller_session>(replies_, sink_, id,
                                                std::move(channel));
    refuse({error_kind::overloaded, "this VM has too many waiting callers"},
           organisation, response);
    return nullptr;
}

void http_front::handle_request(Request const& request, Response& response)
{
    auto parsed = parse_caller_request(
        request.matches[1].str(), request.get_header_value("Authorization"),
        request.body);
    if (auto* const failure = std::get_if<error>(&parsed))
        return refuse(std::move(*failure), "", response);
    auto& call = std::get<requests::caller_request>(parsed);
    auto const organisation = call.organisation;
    auto const stream = call.stream;
    auto const session = open_session(organisation, response);
    if (!session)
        return;
    sink_.submit({session->id(), std::move(call), callbacks_.wall_now()});
    if (stream)
        answer_stream(session, organisation, response);
    else
        answer_plain(*session, organisation, response);
}

void http_front::answer_plain(caller_session& session,
                              std::string const& organisation,
                              Response& response)
{
    auto* const caller = connection_server::current();
    auto item = session.next(caller->socket());
    // Tokens to a caller that wants the whole answer are not needed.
    while (item && as_answer(*item) == nullptr)
        item = session.next(caller->socket());
    if (!item)
        return caller->abandon();
    auto const& value = as_answer(*item)->body;
    response.status = status_of_answer(value);
    response.set_content(encode_answer(value, {session.id(), organisation}),
                         json_type);
}

void http_front::answer_stream(std::shared_ptr<caller_session> const& session,
                               std::string const& organisation,
                               Response& response)
{
    auto* const caller = connection_server::current();
    auto first = session->next(caller->socket());
    if (!first)
        return caller->abandon();
    // The status is known before the first event: an answer that comes
    // without any token gives its own.
    auto const* answer = as_answer(*first);
    response.status = answer == nullptr ? 200 : status_of_answer(answer->body);
    auto const writer = std::make_shared<event_writer>(session, organisation,
                                                       std::move(*first));
    response.set_chunked_content_provider(
        event_type, [writer](std::size_t, httplib::DataSink& sink)
        { return (*writer)(sink); });
}

namespace
{

// False when the parameter is there and is no time; without it the query
// looks in the present time window only.
bool read_issued_at(Request const& request, requests::outcome_asked& query)
{
    if (!request.has_param("issued_at_ms"))
        return true;
    std::int64_t ms = 0;
    if (!absl::SimpleAtoi(request.get_param_value("issued_at_ms"), &ms) ||
        ms < 0)
    {
        return false;
    }
    query.issued_at = decision::wall_time(std::chrono::milliseconds(ms));
    return true;
}

} // namespace

void http_front::handle_outcome(Request const& request, Response& response)
{
    requests::outcome_asked query;
    query.organisation = request.get_param_value("organisation");
    query.idempotency_key = request.matches[1].str();
    query.received_at = callbacks_.wall_now();
    auto const header = request.get_header_value("Authorization");
    auto const key = bearer_key(header);
    if (key.empty())
        return refuse({error_kind::unauthenticated, ""}, "", response);
    if (!is_plain_name(query.organisation))
        return refuse({error_kind::malformed_request,
                       "query parameter 'organisation' must be the name of "
                       "the organisation"},
                      "", response);
    if (!is_plain_name(query.idempotency_key))
        return refuse({error_kind::malformed_request,
                       "the key in the path must have 1 to 128 letters, "
                       "digits or ._:~-"},
                      "", response);
    if (!read_issued_at(request, query))
        return refuse({error_kind::malformed_request,
                       "query parameter 'issued_at_ms' must be the time of "
                       "issue that was sent with the key"},
                      "", response);
    query.key_sha256 = key_digest(key);
    auto const session = open_session(query.organisation, response);
    if (!session)
        return;
    query.request = session->id();
    auto const organisation = query.organisation;
    sink_.ask(std::move(query));
    auto* const caller = connection_server::current();
    auto const item = session->next(caller->socket());
    auto const* value = item ? as_answer(*item) : nullptr;
    if (value == nullptr)
        return caller->abandon();
    response.status = status_of_query(value->body);
    response.set_content(
        encode_answer(value->body, {session->id(), organisation}), json_type);
}

} // namespace buckthornvale::serving::http
