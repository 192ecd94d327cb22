#include "append_body.hpp"
#include <buckthornvale/http/text.hpp>
#include <buckthornvale/net/http_server.hpp>

#include <asio/post.hpp>

#include <algorithm>

namespace buckthornvale::net
{

namespace
{

using namespace std::chrono_literals;

//! Reading pauses once more bytes of following requests are held.
constexpr std::size_t max_held_bytes = 16'384;

//! The next request on a connection waits while more bytes of responses do.
constexpr std::size_t max_unread_bytes = 65'536;

//! Counted for each connection beside its messages: buffers and objects.
constexpr std::size_t connection_bytes = 16'384;

//! Counted for what the socket holds of a client while reading is paused.
constexpr std::size_t unread_socket_bytes = 65'536;

//! A client that sends or takes fewer bytes makes no progress.
constexpr std::size_t min_progress_bytes = 4096;

//! Larger bodies leave the reserve of the budget to other requests.
constexpr std::size_t max_small_body_bytes = 16'384;

//! Left for what the handler keeps of a request beside its head and body.
constexpr std::size_t request_bytes = 4096;

//! A client that has not taken queued bytes of a response for this time may be
//! ended for others.
constexpr duration min_stopped_time = 1s;

http::parser_limits to_parser_limits(server_limits const& limits)
{
    return {limits.max_header_bytes, limits.max_body_bytes};
}

} // namespace

server_connection::server_connection(http_server& server, std::uint64_t id,
                                     asio::ip::tcp::socket socket)
    : server_(server), id_(id),
      stream_(std::make_shared<tcp_stream>(std::move(socket))),
      parser_(http::message_type::request, to_parser_limits(server.limits_()),
              *this),
      phase_start_(server.clock_()),
      idle_timeout_(server.limits_().idle_timeout), progress_at_(phase_start_),
      charge_(server.memory_)
{
}

server_connection::~server_connection()
{
    stream_->detach();
    close_stream();
}

void server_connection::start()
{
    stream_->attach(*this);
    stream_->start(server_.limits_().send_timeout);
    count_memory();
}

void server_connection::on_bytes(std::string_view bytes)
{
    if (state_ == state::lingering)
    {
        last_discarded_ = server_.clock_();
        server_.handler_.on_discarded(*this, bytes.size(),
                                      server_.clock_() - phase_start_);
        return;
    }
    note_progress(bytes.size());
    if (can_parse() && held_input_.empty())
        parse(bytes);
    else
        hold(bytes);
    count_memory();
    server_.make_room_for(*this, 0);
}

bool server_connection::can_parse() const
{
    return state_ == state::reading && stream_->queued() <= max_unread_bytes;
}

void server_connection::hold(std::string_view bytes)
{
    held_input_.append(bytes);
    if (held_input_.size() > max_held_bytes)
        stream_->pause_reading();
}

void server_connection::parse_held_input()
{
    if (!can_parse())
        return;
    auto const input = std::exchange(held_input_, {});
    // What was read since the response may have paused it again.
    stream_->resume_reading();
    if (!input.empty())
        parse(input);
    count_memory();
}

bool server_connection::is_idle() const
{
    return state_ == state::reading && !parser_.started() &&
           held_input_.empty();
}

void server_connection::parse(std::string_view bytes)
{
    if (!parser_.started())
    {
        phase_start_ = server_.clock_();
        restart_progress();
        parser_.set_limits(to_parser_limits(server_.limits_()));
        body_admitted_ = false;
    }
    std::size_t const n = parser_.feed(bytes);
    switch (parser_.error())
    {
    case http::parse_error::none:
        break;
    case http::parse_error::malformed:
        reject(rejection::malformed);
        return;
    case http::parse_error::header_too_large:
        reject(rejection::header_too_large);
        return;
    case http::parse_error::body_too_large:
        reject(rejection::body_too_large);
        return;
    }
    if (!parser_.complete())
    {
        if (parser_.head_complete() && !body_admitted_)
            admit_body();
        return;
    }
    // The handler may have to copy the body for the network.
    count_memory();
    if (!server_.make_room_for(*this, request_bytes + parser_.held_bytes() +
                                          server_.limits_().body_copies *
                                              body_.capacity() +
                                          reserve_beside(body_.size())))
        return;
    held_input_.assign(bytes.substr(n));
    state_ = state::serving;
    phase_start_ = server_.clock_();
    keep_alive_ = parser_.request().keep_alive;
    ++requests_received_;
    server_.handler_.on_request(*this, parser_.request(), body_);
}

//! Refuses a body that does not fit before it is read, or asks for it.
void server_connection::admit_body()
{
    body_admitted_ = true;
    // The handler may have to copy the body, as on its arrival.
    auto const counted_bytes = std::min(body_.capacity(), max_body_bytes_);
    auto const wanted_bytes =
        (1 + server_.limits_().body_copies) * max_body_bytes_ +
        reserve_beside(max_body_bytes_);
    auto const missing_bytes =
        body_length_known_ ? wanted_bytes - counted_bytes : 0;
    count_memory();
    if (!server_.make_room_for(*this, missing_bytes) || !expects_continue_)
        return;
    std::string interim_response;
    http::append_status_line(interim_response, 100);
    interim_response += "\r\n";
    stream_->write(interim_response);
}

std::size_t server_connection::reserve_beside(std::size_t body_bytes) const
{
    return body_bytes > max_small_body_bytes ? server_.memory_->reserve() : 0;
}

void server_connection::on_head()
{
    auto const& head = parser_.request();
    expects_continue_ = http::find_header(head.headers, "expect") &&
                        head.has_body && !head.http_1_0;
    auto const length = http::find_header(head.headers, "content-length");
    auto const bytes = length ? http::parse_number(*length) : std::nullopt;
    body_length_known_ = bytes.has_value();
    max_body_bytes_ = bytes.value_or(server_.limits_().max_body_bytes);
}

void server_connection::on_body(std::string_view bytes)
{
    append_body(body_, bytes, max_body_bytes_);
}

void server_connection::on_complete() {}

void server_connection::append_connection_headers(std::string& head) const
{
    bool const close_connection =
        !keep_alive_ || close_after_response_ || server_.draining_;
    if (close_connection)
        http::append_header(head, "Connection", "close");
    else if (parser_.request().http_1_0)
        http::append_header(head, "Connection", "keep-alive");
}

void server_connection::answer(std::string head, std::string_view body)
{
    if (state_ != state::serving || response_started_)
        return;
    http::append_header(head, "Content-Length", std::to_string(body.size()));
    append_connection_headers(head);
    head += "\r\n";
    if (parser_.request().method == "HEAD")
        body = {};
    stream_->write(head, body);
    finish_response();
}

void server_connection::start_answer(std::string head)
{
    if (state_ != state::serving || response_started_)
        return;
    response_started_ = true;
    restart_progress();
    chunked_ = !parser_.request().http_1_0;
    if (chunked_)
        http::append_header(head, "Transfer-Encoding", "chunked");
    else
        keep_alive_ = false;
    ends_at_close_ = !chunked_;
    append_connection_headers(head);
    head += "\r\n";
    stream_->write(head);
}

void server_connection::send_part(std::string_view bytes)
{
    // The queue was empty, so the time without progress begins now.
    if (stream_->queued() == 0)
        restart_progress();
    if (chunked_)
    {
        std::string chunk;
        http::append_chunk(chunk, bytes);
        stream_->write(chunk);
    }
    else
        stream_->write(bytes);
    count_memory();
    server_.make_room_later();
}

void server_connection::end_answer()
{
    if (chunked_)
        stream_->write(http::last_chunk);
    finish_response();
}

void server_connection::finish_response()
{
    response_started_ = false;
    phase_start_ = server_.clock_();
    restart_progress();
    if (!keep_alive_ || close_after_response_ || server_.draining_)
    {
        close_gracefully();
        return;
    }
    state_ = state::reading;
    std::string().swap(body_);
    parser_.next();
    idle_timeout_ = server_.limits_().idle_timeout;
    count_memory();
    server_.make_room_later();
    go_on_reading();
}

//! Posted, because parsing here would recurse once per pipelined request.
void server_connection::go_on_reading()
{
    if (!can_parse())
        return;
    if (held_input_.empty())
    {
        stream_->resume_reading();
        return;
    }
    asio::post(server_.loop_,
               [&server = server_, id = id_,
                lifetime = std::weak_ptr<void>(server_.lifetime_)]
               {
                   if (lifetime.expired())
                       return;
                   if (auto* it = server.find(id))
                       it->parse_held_input();
               });
}

void server_connection::reject(rejection reason)
{
    state_ = state::serving;
    keep_alive_ = false;
    auto const response = server_.handler_.on_rejected(reason);
    if (!response)
    {
        close_gracefully();
        return;
    }
    std::string head;
    http::append_status_line(head, response->status);
    if (!response->content_type.empty())
        http::append_header(head, "Content-Type", response->content_type);
    if (!response->retry_after.empty())
        http::append_header(head, "Retry-After", response->retry_after);
    answer(std::move(head), response->body);
}

asio::ip::address server_connection::remote_address() const
{
    return stream_->remote_address();
}

void server_connection::abort()
{
    keep_alive_ = false;
    if (ends_at_close_)
        close_now();
    else
        close_gracefully();
}

void server_connection::close_gracefully()
{
    state_ = state::lingering;
    phase_start_ = server_.clock_();
    last_discarded_ = phase_start_;
    if (!held_input_.empty())
        server_.handler_.on_discarded(
            *this, std::exchange(held_input_, {}).size(), duration::zero());
    std::string().swap(body_);
    parser_.next();
    // Unread bytes would reset the connection when it is closed.
    stream_->resume_reading();
    count_memory();
    server_.make_room_later();
    stream_->shutdown_after_write();
}

//! Closes the connection unless a request has arrived or a response is still
//! being sent. It reads nothing more: a client may repeat a request that the
//! server has not read.
void server_connection::close_idle()
{
    if (!stream_->has_input() && stream_->queued() == 0)
        close_now();
}

void server_connection::close_now()
{
    stream_->detach();
    close_stream();
    server_.remove(id_);
}

std::optional<connection_load> server_connection::load(time_point now) const
{
    bool const stopped_reading =
        stream_->queued() > 0 && now - progress_at_ >= min_stopped_time;
    bool const has_request = state_ == state::serving ||
                             (state_ == state::reading && parser_.complete());
    if (has_request && !stopped_reading && held_input_.size() <= max_held_bytes)
        return std::nullopt;
    return connection_load{id_, charge_.bytes(), now - progress_at_};
}

bool server_connection::has_unread_request() const
{
    return is_idle() && stream_->has_input();
}

void server_connection::end_for_others()
{
    server_.handler_.on_ended_for_others(*this, charge_.bytes());
    if (state_ == state::reading && (parser_.started() || !held_input_.empty()))
    {
        reject(rejection::out_of_memory);
        return;
    }
    if (state_ == state::serving)
        server_.handler_.on_caller_left(*this);
    close_now();
}

void server_connection::count_memory()
{
    if (removed_)
        return;
    auto const unread =
        stream_->is_reading_paused() ? unread_socket_bytes : std::size_t{0};
    charge_.resize(connection_bytes + parser_.held_bytes() + body_.capacity() +
                   held_input_.capacity() + stream_->queue_capacity() + unread);
}

void server_connection::release_memory()
{
    removed_ = true;
    charge_.resize(0);
}

void server_connection::note_progress(std::size_t bytes)
{
    bytes_since_progress_ += bytes;
    if (bytes_since_progress_ >= min_progress_bytes)
        restart_progress();
}

void server_connection::restart_progress()
{
    bytes_since_progress_ = 0;
    progress_at_ = server_.clock_();
}

void server_connection::close_stream()
{
    // A response that ends with its connection is complete when that is closed
    // in order, so only a reset marks it as incomplete.
    bool const unfinished = response_started_ || stream_->queued() > 0;
    if (ends_at_close_ && unfinished)
        stream_->reset();
    else
        stream_->close();
}

void server_connection::close_after_response()
{
    close_after_response_ = true;
    if (!is_idle())
        return;
    // The first request of a new connection is probably on its way.
    if (requests_received_ == 0)
        phase_start_ = server_.clock_();
    else
        close_idle();
}

void server_connection::on_end(asio::error_code)
{
    if (state_ == state::serving)
        server_.handler_.on_caller_left(*this);
    server_.remove(id_);
}

void server_connection::on_written()
{
    if (state_ == state::serving)
        server_.handler_.on_drained(*this);
    // The connection is idle from now on, and not since the response was
    // queued.
    if (is_idle())
        phase_start_ = server_.clock_();
    restart_progress();
    count_memory();
    go_on_reading();
}

} // namespace buckthornvale::net
