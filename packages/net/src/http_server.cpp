#include <buckthornvale/net/http_server.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <vector>

namespace buckthornvale::net
{

namespace
{

using namespace std::chrono_literals;

//! Reading pauses once more bytes of following requests are held.
constexpr std::size_t max_held_bytes = 65'536;

//! Time that a client has to read its response and close the connection before
//! the server closes it, which can reset it and discard unread bytes.
constexpr duration linger_timeout = 1s;

constexpr std::chrono::milliseconds accept_retry_delay{50};

http::parser_limits to_parser_limits(server_limits const& limits)
{
    return {limits.max_header_bytes, limits.max_body_bytes};
}

} // namespace

rejection_answer default_rejection(rejection reason)
{
    switch (reason)
    {
    case rejection::malformed:
        break;
    case rejection::header_too_large:
        return {431, {}, {}};
    case rejection::body_too_large:
        return {413, {}, {}};
    case rejection::header_too_slow:
    case rejection::body_too_slow:
        return {408, {}, {}};
    case rejection::too_many_connections:
        return {503, {}, {}};
    }
    return {400, {}, {}};
}

server_connection::server_connection(http_server& server, std::uint64_t id,
                                     asio::ip::tcp::socket socket)
    : server_(server), id_(id),
      stream_(std::make_shared<tcp_stream>(std::move(socket))),
      parser_(http::message_type::request, to_parser_limits(server.limits_()),
              *this),
      phase_start_(server.clock_()),
      idle_timeout_(server.limits_().idle_timeout)
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
}

void server_connection::on_bytes(std::string_view bytes)
{
    if (state_ == state::lingering)
    {
        server_.handler_.on_discarded(*this, bytes.size(),
                                      server_.clock_() - phase_start_);
        return;
    }
    if (state_ == state::reading && held_input_.empty())
    {
        parse(bytes);
        return;
    }
    held_input_.append(bytes);
    if (held_input_.size() > max_held_bytes)
        stream_->pause_reading();
}

void server_connection::parse_held_input()
{
    if (state_ != state::reading || held_input_.empty())
        return;
    auto const input = std::exchange(held_input_, {});
    // What was read since the response may have paused it again.
    stream_->resume_reading();
    parse(input);
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
        parser_.set_limits(to_parser_limits(server_.limits_()));
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
        return;
    held_input_.assign(bytes.substr(n));
    state_ = state::serving;
    phase_start_ = server_.clock_();
    keep_alive_ = parser_.request().keep_alive;
    ++requests_received_;
    server_.handler_.on_request(*this, parser_.request(), body_);
}

void server_connection::on_head()
{
    auto const& head = parser_.request();
    if (http::find_header(head.headers, "expect") && head.has_body &&
        !head.http_1_0)
    {
        std::string interim_response;
        http::append_status_line(interim_response, 100);
        interim_response += "\r\n";
        stream_->write(interim_response);
    }
}

void server_connection::on_body(std::string_view bytes)
{
    body_.append(bytes);
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
    if (!chunked_)
    {
        stream_->write(bytes);
        return;
    }
    std::string chunk;
    http::append_chunk(chunk, bytes);
    stream_->write(chunk);
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
    if (!keep_alive_ || close_after_response_ || server_.draining_)
    {
        close_gracefully();
        return;
    }
    state_ = state::reading;
    body_.clear();
    parser_.next();
    idle_timeout_ = server_.limits_().idle_timeout;
    stream_->resume_reading();
    if (held_input_.empty())
        return;
    // Posted, because parsing here would recurse once per pipelined request.
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
    if (!held_input_.empty())
        server_.handler_.on_discarded(
            *this, std::exchange(held_input_, {}).size(), duration::zero());
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

void server_connection::check_limits(time_point now)
{
    auto const limits = server_.limits_();
    if (is_send_stalled(limits, now))
    {
        if (state_ == state::serving)
            server_.handler_.on_caller_left(*this);
        close_now();
    }
    else if (state_ == state::lingering &&
             now - phase_start_ > linger_timeout && stream_->queued() == 0)
        close_now();
    else if (state_ == state::reading && held_input_.empty())
        check_receive_timeouts(limits, now);
}

void server_connection::check_receive_timeouts(server_limits const& limits,
                                               time_point now)
{
    auto const elapsed = now - phase_start_;
    if (!parser_.started())
    {
        auto const timeout = close_after_response_
                                 ? linger_timeout
                                 : std::max(idle_timeout_, limits.idle_timeout);
        if (elapsed > timeout)
            close_idle();
    }
    else if (!parser_.head_complete())
    {
        if (elapsed > limits.header_timeout)
            reject(rejection::header_too_slow);
    }
    else if (elapsed > limits.receive_timeout)
        reject(rejection::body_too_slow);
}

bool server_connection::is_send_stalled(server_limits const& limits,
                                        time_point now)
{
    auto const bytes_sent = stream_->written();
    if (stream_->queued() == 0 || bytes_sent != last_bytes_sent_)
    {
        last_bytes_sent_ = bytes_sent;
        last_send_progress_ = now;
        return false;
    }
    return now - last_send_progress_ > limits.send_timeout;
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
}

http_server::http_server(asio::io_context& loop, request_handler& handler,
                         limits_function limits, clock_function clock)
    : loop_(loop), acceptor_(loop), accept_retry_timer_(loop),
      handler_(handler), limits_(std::move(limits)), clock_(std::move(clock))
{
}

http_server::~http_server() = default;

void http_server::listen(std::string const& address, std::uint16_t port)
{
    asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(address),
                                           port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accept();
}

std::uint16_t http_server::port() const
{
    return acceptor_.local_endpoint().port();
}

void http_server::accept()
{
    acceptor_.async_accept(
        [this, server = std::weak_ptr<void>(lifetime_)](
            asio::error_code ec, asio::ip::tcp::socket socket)
        {
            // A handler that was queued before the server was destroyed still
            // runs, and without an error.
            if (server.expired() || ec == asio::error::operation_aborted)
                return;
            if (!ec)
            {
                add_connection(std::move(socket));
                if (acceptor_.is_open())
                    accept();
                return;
            }
            // Usually the process has run out of file descriptors, so retry
            // later.
            accept_retry_timer_.start(accept_retry_delay, [this] { accept(); });
        });
}

void http_server::add_connection(asio::ip::tcp::socket socket)
{
    auto const id = next_id_++;
    auto connection =
        std::make_shared<server_connection>(*this, id, std::move(socket));
    bool const at_capacity = connections_.size() >= limits_().max_connections;
    connections_.emplace(id, connection);
    // Starts reading even at capacity: closing a socket with unread bytes
    // resets the connection.
    connection->start();
    if (at_capacity)
        connection->reject(rejection::too_many_connections);
}

void http_server::remove(std::uint64_t id)
{
    auto const found = connections_.find(id);
    if (found == connections_.end())
        return;
    // Deferred: this may be called from a member function of the connection.
    asio::post(loop_, [keep = std::move(found->second)] {});
    connections_.erase(found);
}

void http_server::stop_listening()
{
    // Closing the acceptor resets connections that were not accepted yet.
    asio::error_code ec;
    acceptor_.cancel(ec);
    acceptor_.non_blocking(true, ec);
    while (!ec)
    {
        asio::ip::tcp::socket socket(loop_);
        acceptor_.accept(socket, ec);
        if (!ec)
            add_connection(std::move(socket));
    }
    acceptor_.close(ec);
}

void http_server::finish_all()
{
    draining_ = true;
    std::vector<std::shared_ptr<server_connection>> snapshot;
    for (auto const& it : connections_)
        snapshot.push_back(it.second);
    for (auto const& it : snapshot)
        it->close_after_response();
}

void http_server::check_limits(time_point now)
{
    std::vector<std::shared_ptr<server_connection>> snapshot;
    for (auto const& it : connections_)
        snapshot.push_back(it.second);
    for (auto const& it : snapshot)
        it->check_limits(now);
}

std::size_t http_server::serving() const
{
    return std::count_if(connections_.begin(), connections_.end(),
                         [](auto const& it) { return it.second->serving(); });
}

server_connection* http_server::find(std::uint64_t id)
{
    auto const found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second.get();
}

} // namespace buckthornvale::net
