#include <buckthornvale/net/endpoint.hpp>
#include <buckthornvale/net/http_client.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <cstddef>

namespace buckthornvale::net
{

namespace
{

using namespace std::chrono_literals;

//! Idle timeout of a pooled connection whose server announces none in
//! `Keep-Alive`.
constexpr duration default_idle_timeout = 20s;

//! Pooled connections are closed this long before their idle timeout, because
//! the server could close one just as a request is sent.
constexpr duration idle_timeout_margin = 700ms;

//! A server that acknowledges nothing for this long is taken for dead. One that
//! takes no bytes, but is alive, has the timeout of the call.
constexpr duration send_timeout = 3s;

//! Limits on a response; a larger one is treated as a server error.
constexpr http::parser_limits response_limits = {65'536, 67'108'864};

bool contains(absl::Span<connection_number const> numbers,
              connection_number number)
{
    return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

} // namespace

//! Connection to a server, either idle or carrying one call.
class http_client::connection final
    : public tcp_stream::handler,
      public http::message_sink,
      public std::enable_shared_from_this<http_client::connection>
{
public:
    connection(http_client& client, connection_number number,
               std::string address)
        : client_(client), number_(number), address_(std::move(address)),
          stream_(std::make_shared<tcp_stream>(
              asio::ip::tcp::socket(client.loop_))),
          parser_(http::message_type::response, response_limits, *this)
    {
        stream_->attach(*this);
    }

    ~connection() override
    {
        stream_->detach();
        stream_->close();
    }

    connection_number number() const { return number_; }
    call_lane lane() const { return lane_; }
    std::shared_ptr<answer_history> const& history() const { return history_; }
    std::string const& address() const { return address_; }
    tcp_stream& stream() { return *stream_; }

    void start_call(call_id call, std::string head,
                    std::shared_ptr<std::string const> body,
                    call_options const& options, answer_handler& call_handler,
                    time_point now)
    {
        call_ = call;
        handler_ = &call_handler;
        head_ = std::move(head);
        body_ = std::move(body);
        progress_.start(options.timeout, options.pace, now);
        discarding_response_ = false;
        body_rejected_ = false;
        keep_connection_ = options.keep_connection;
        lane_ = options.lane;
        is_head_request_ = head_.compare(0, 5, "HEAD ") == 0;
        parser_.next();
        if (head_.empty())
        {
            post_failure(call_failure::not_sent);
            return;
        }
        if (connected_)
        {
            send();
            return;
        }
        connect_deadline_ = now + options.connect_timeout;
        auto const endpoint = parse_endpoint(address_);
        if (!endpoint)
        {
            post_failure(call_failure::not_sent);
            return;
        }
        stream_->connect(*endpoint,
                         [self = shared_from_this()](asio::error_code e)
                         { self->on_connected(e); });
    }

    void check_timeouts(time_point now)
    {
        if (handler_ == nullptr)
            return;
        if (progress_.is_sending())
            progress_.note_unacknowledged(stream_->unacknowledged(), now);
        if (!connected_ && now >= connect_deadline_)
            fail(call_failure::not_sent, false);
        else if (progress_.is_overdue(now))
            fail(sent_ ? call_failure::timed_out : call_failure::not_sent,
                 false);
    }

    //! Keeps the handler alive until its call has ended.
    void own_handler(std::shared_ptr<answer_handler> owned_handler)
    {
        owned_handler_ = std::move(owned_handler);
    }

    void close()
    {
        handler_ = nullptr;
        owned_handler_.reset();
        stream_->detach();
        stream_->close();
    }

    // tcp_stream::handler
    void on_bytes(std::string_view bytes) override
    {
        auto const self = shared_from_this();
        if (handler_ == nullptr)
        {
            // No request is in progress, so the bytes are unsolicited.
            client_.remove_idle(this);
            close();
            return;
        }
        while (!bytes.empty() && handler_ != nullptr)
        {
            std::size_t const n = parser_.feed(bytes);
            bytes.remove_prefix(std::min(n, bytes.size()));
            if (handler_ == nullptr)
                return;
            if (parser_.error() != http::parse_error::none || body_rejected_)
            {
                fail(response_started_ ? call_failure::broken_off
                                       : call_failure::no_answer,
                     false);
                return;
            }
            if (parser_.complete())
            {
                finish_message(bytes.empty());
                if (handler_ == nullptr)
                    return;
            }
        }
    }

    void on_end(asio::error_code ec) override
    {
        auto const self = shared_from_this();
        if (handler_ == nullptr)
        {
            client_.remove_idle(this);
            return;
        }
        bool const orderly_close = ec == asio::error::eof;
        if (orderly_close && response_started_ &&
            parser_.response().body_ends_at_close)
        {
            parser_.feed_eof();
            if (parser_.complete() && handler_ != nullptr)
            {
                finish_message(false);
                return;
            }
        }
        fail(response_started_ ? call_failure::broken_off
                               : call_failure::no_answer,
             true);
    }

    void on_written() override {}

    // http::message_sink
    void on_head() override
    {
        auto const& head = parser_.response();
        is_interim_response_ = head.status >= 100 && head.status < 200;
        if (handler_ == nullptr || is_interim_response_)
            return;
        auto const match = handler_->on_answer_head(head);
        discarding_response_ = match == response_match::other;
        response_started_ = !discarding_response_;
        if (match == response_match::unnamed)
            keep_connection_ = false;
    }

    void on_body(std::string_view bytes) override
    {
        if (handler_ == nullptr || discarding_response_ ||
            is_interim_response_ || body_rejected_)
            return;
        if (progress_.is_paced())
            progress_.received(bytes.size(), client_.clock_());
        body_rejected_ = !handler_->on_answer_body(bytes);
    }

    void on_complete() override {}

private:
    void on_connected(asio::error_code ec)
    {
        if (handler_ == nullptr)
            return;
        if (ec)
        {
            fail(call_failure::not_sent, true);
            return;
        }
        // After a pause of the process, the connection can be reported although
        // the time of the call is over. That it was made late does not matter.
        if (progress_.is_overdue(client_.clock_()))
        {
            fail(call_failure::not_sent, false);
            return;
        }
        connected_ = true;
        stream_->start(send_timeout, tcp_stream::paused_peer::is_awaited);
        send();
    }

    void send()
    {
        sent_ = true;
        response_started_ = false;
        if (is_head_request_)
            parser_.expect_no_body();
        auto const body = body_ ? std::string_view(*body_) : std::string_view();
        bool const written = stream_->write(head_, body);
        progress_.sent(head_.size() + body.size());
        head_.clear();
        if (!written)
        {
            sent_ = false;
            post_failure(call_failure::not_sent);
        }
    }

    //! Handles the end of a message. After an interim response (1xx), or one
    //! to another request, the expected response still follows.
    void finish_message(bool input_exhausted)
    {
        auto const head = parser_.response();
        bool const is_expected = !discarding_response_ && !is_interim_response_;
        discarding_response_ = false;
        if (!is_expected)
        {
            if (head.keep_alive || is_interim_response_)
            {
                parser_.next();
                if (is_head_request_)
                    parser_.expect_no_body();
                return;
            }
            fail(call_failure::no_answer, true);
            return;
        }
        auto* call_handler = std::exchange(handler_, nullptr);
        auto const owned_handler = std::exchange(owned_handler_, nullptr);
        auto const call = call_;
        body_.reset();
        bool const reusable = keep_connection_ && head.keep_alive &&
                              input_exhausted && !head.body_ends_at_close &&
                              stream_->queued() == 0 && stream_->is_open();
        auto const self = shared_from_this();
        client_.remove_call(call);
        if (reusable)
        {
            auto const seconds = http::keep_alive_seconds(head.headers);
            duration const idle_timeout =
                seconds ? duration(std::chrono::seconds(*seconds))
                        : default_idle_timeout;
            client_.keep_idle(self, idle_timeout - idle_timeout_margin);
        }
        else
            close();
        call_handler->on_answer_end();
    }

    void fail(call_failure failure, bool connection_lost)
    {
        auto* call_handler = std::exchange(handler_, nullptr);
        auto const owned_handler = std::exchange(owned_handler_, nullptr);
        auto const self = shared_from_this();
        client_.remove_call(call_);
        close();
        if (call_handler != nullptr)
            call_handler->on_answer_failed(failure, connection_lost);
    }

    void post_failure(call_failure failure)
    {
        asio::post(client_.loop_,
                   [self = shared_from_this(), failure, call = call_]
                   {
                       if (self->handler_ != nullptr && self->call_ == call)
                           self->fail(failure, true);
                   });
    }

    http_client& client_;
    connection_number const number_;
    std::string const address_;
    call_lane lane_ = call_lane::general; //!< of all its calls
    std::shared_ptr<answer_history> const history_ =
        std::make_shared<answer_history>();
    std::shared_ptr<tcp_stream> stream_;
    http::message_parser parser_;
    answer_handler* handler_ = nullptr;

    //! Set when the call owns its handler.
    std::shared_ptr<answer_handler> owned_handler_;

    call_id call_ = 0;
    std::string head_;
    std::shared_ptr<std::string const> body_;
    time_point connect_deadline_{};
    call_progress progress_;
    bool connected_ = false;
    bool sent_ = false;
    bool response_started_ = false;
    bool discarding_response_ = false;
    bool body_rejected_ = false; //!< by the handler
    bool is_interim_response_ = false;
    bool is_head_request_ = false;
    bool keep_connection_ = true;
};

http_client::http_client(asio::io_context& loop, clock_function clock)
    : loop_(loop), clock_(std::move(clock))
{
}

http_client::~http_client()
{
    for (auto& it : calls_)
        it.second->close();
    for (auto& list : idle_)
        for (auto& it : list.second)
            it.http_connection->close();
}

call_id http_client::call(std::string const& address, std::string head,
                          std::shared_ptr<std::string const> body,
                          call_options const& options, answer_handler& handler)
{
    auto http_connection =
        options.keep_connection ? take_idle(address, options) : nullptr;
    if (http_connection == nullptr)
        http_connection =
            std::make_shared<connection>(*this, next_connection_++, address);
    auto const id = next_call_++;
    calls_.emplace(id, http_connection);
    http_connection->start_call(id, std::move(head), std::move(body), options,
                                handler, clock_());
    return id;
}

call_id http_client::call(std::string const& address, std::string head,
                          std::shared_ptr<std::string const> body,
                          call_options const& options,
                          std::shared_ptr<answer_handler> handler)
{
    auto const id =
        call(address, std::move(head), std::move(body), options, *handler);
    calls_[id]->own_handler(std::move(handler));
    return id;
}

connection_number http_client::connection_of(call_id call) const
{
    return calls_.at(call)->number();
}

std::shared_ptr<answer_history> http_client::history_of(call_id call) const
{
    return calls_.at(call)->history();
}

void http_client::cancel(call_id call)
{
    auto const found = calls_.find(call);
    if (found == calls_.end())
        return;
    auto const http_connection = std::move(found->second);
    calls_.erase(found);
    http_connection->close();
}

void http_client::pause(call_id call)
{
    auto const found = calls_.find(call);
    if (found != calls_.end())
        found->second->stream().pause_reading();
}

void http_client::resume(call_id call)
{
    auto const found = calls_.find(call);
    if (found != calls_.end())
        found->second->stream().resume_reading();
}

void http_client::remove_call(call_id call)
{
    calls_.erase(call);
}

void http_client::keep_idle(std::shared_ptr<connection> http_connection,
                            duration idle_timeout)
{
    auto const now = clock_();
    if (idle_timeout <= duration::zero())
    {
        http_connection->close();
        return;
    }
    http_connection->stream().resume_reading();
    auto& list = idle_[http_connection->address()];
    auto const lane = http_connection->lane();
    list.push_back({lane, std::move(http_connection), now, now + idle_timeout});
}

void http_client::remove_idle(connection const* http_connection)
{
    auto const found = idle_.find(http_connection->address());
    if (found == idle_.end())
        return;
    auto& list = found->second;
    list.erase(
        std::remove_if(list.begin(), list.end(),
                       [&](idle_connection const& it)
                       { return it.http_connection.get() == http_connection; }),
        list.end());
}

std::shared_ptr<http_client::connection>
http_client::take_idle(std::string const& address, call_options const& options)
{
    auto const found = idle_.find(address);
    if (found == idle_.end())
        return nullptr;
    auto& list = found->second;
    auto const now = clock_();
    // The most recently used connection is the least likely to have been closed
    // by the peer.
    for (std::size_t n = list.size(); n > 0; --n)
    {
        auto const it = list.begin() + std::ptrdiff_t(n - 1);
        if (it->lane != options.lane || contains(options.excluded_connections,
                                                 it->http_connection->number()))
            continue;
        auto const entry = std::move(*it);
        list.erase(it);
        if (entry.expires_at > now &&
            now - entry.idle_since <= options.max_idle &&
            !entry.http_connection->history()->is_full() &&
            entry.http_connection->stream().is_quiet())
            return entry.http_connection;
        entry.http_connection->close();
    }
    return nullptr;
}

void http_client::check_times(time_point now)
{
    std::vector<std::shared_ptr<connection>> all;
    all.reserve(calls_.size());
    for (auto const& it : calls_)
        all.push_back(it.second);
    for (auto const& it : all)
        it->check_timeouts(now);
    for (auto& it : idle_)
    {
        auto& list = it.second;
        auto const first_expired =
            std::stable_partition(list.begin(), list.end(),
                                  [&](idle_connection const& entry)
                                  { return entry.expires_at > now; });
        for (auto expired = first_expired; expired != list.end(); ++expired)
            expired->http_connection->close();
        list.erase(first_expired, list.end());
    }
}

void http_client::forget(std::string const& address)
{
    auto const found = idle_.find(address);
    if (found == idle_.end())
        return;
    for (auto& it : found->second)
        it.http_connection->close();
    idle_.erase(found);
}

} // namespace buckthornvale::net
