#include <buckthornvale/net/endpoint.hpp>
#include <buckthornvale/net/http_client.hpp>

#include <asio/post.hpp>

#include <algorithm>

namespace buckthornvale::net
{

namespace
{

using namespace std::chrono_literals;

//! Idle time after which a kept connection is closed when its server does not
//! state a time.
constexpr duration default_idle_limit = 20s;

//! A kept connection is not used this close to the end of its stated time.
constexpr duration idle_margin = 700ms;

//! Largest answer; larger ones are a fault of the server.
constexpr http::parser_limits answer_limits = {65'536, 67'108'864};

} // namespace

//! A connection to a server, idle or with one call.
class http_client::connection final
    : public tcp_stream::handler,
      public http::message_sink,
      public std::enable_shared_from_this<http_client::connection>
{
public:
    connection(http_client& client, std::string address)
        : client_(client), address_(std::move(address)),
          stream_(std::make_shared<tcp_stream>(
              asio::ip::tcp::socket(client.loop_))),
          parser_(http::message_type::response, answer_limits, *this)
    {
        stream_->attach(*this);
    }

    ~connection() override
    {
        stream_->detach();
        stream_->close();
    }

    std::string const& address() const { return address_; }
    tcp_stream& stream() { return *stream_; }

    void begin(call_id call, std::string head,
               std::shared_ptr<std::string const> body,
               call_options const& options, answer_handler& awaiting,
               time_point now)
    {
        call_ = call;
        handler_ = &awaiting;
        head_ = std::move(head);
        body_ = std::move(body);
        ends_ = now + options.timeout;
        skipping_ = false;
        keep_ = options.keep_connection;
        no_body_ = head_.compare(0, 5, "HEAD ") == 0;
        parser_.next();
        if (connected_)
        {
            send();
            return;
        }
        connect_ends_ = now + options.connect_timeout;
        auto const to = parse_endpoint(address_);
        if (!to)
        {
            fail_later(call_failure::not_sent);
            return;
        }
        stream_->connect(*to, [self = shared_from_this()](asio::error_code e)
                         { self->on_connected(e); });
    }

    void check_times(time_point now)
    {
        if (handler_ == nullptr)
            return;
        if (!connected_ && now >= connect_ends_)
            fail(call_failure::not_sent, false);
        else if (now >= ends_)
            fail(sent_ ? call_failure::timed_out : call_failure::not_sent,
                 false);
    }

    //! Keeps the handler until its call has ended.
    void keep(std::shared_ptr<answer_handler> owned)
    {
        owned_ = std::move(owned);
    }

    void drop()
    {
        handler_ = nullptr;
        owned_.reset();
        stream_->detach();
        stream_->close();
    }

    // tcp_stream::handler
    void on_bytes(std::string_view bytes) override
    {
        auto const self = shared_from_this();
        if (handler_ == nullptr)
        {
            // Nothing was asked: these bytes belong to no request.
            client_.drop_idle(this);
            drop();
            return;
        }
        while (!bytes.empty() && handler_ != nullptr)
        {
            std::size_t const n = parser_.feed(bytes);
            bytes.remove_prefix(std::min(n, bytes.size()));
            if (handler_ == nullptr)
                return;
            if (parser_.error() != http::parse_error::none)
            {
                fail(answer_begun_ ? call_failure::broken_off
                                   : call_failure::no_answer,
                     false);
                return;
            }
            if (parser_.complete())
            {
                end_message(bytes.empty());
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
            client_.drop_idle(this);
            return;
        }
        bool const orderly = ec == asio::error::eof;
        if (orderly && answer_begun_ && parser_.response().body_ends_at_close)
        {
            parser_.feed_eof();
            if (parser_.complete() && handler_ != nullptr)
            {
                end_message(false);
                return;
            }
        }
        fail(answer_begun_ ? call_failure::broken_off : call_failure::no_answer,
             true);
    }

    void on_written() override {}

    // http::message_sink
    void on_head() override
    {
        auto const& head = parser_.response();
        interim_ = head.status >= 100 && head.status < 200;
        if (handler_ == nullptr || interim_)
            return;
        skipping_ = !handler_->on_answer_head(head);
        answer_begun_ = !skipping_;
    }

    void on_body(std::string_view bytes) override
    {
        if (handler_ != nullptr && !skipping_ && !interim_)
            handler_->on_answer_body(bytes);
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
        connected_ = true;
        stream_->start();
        send();
    }

    void send()
    {
        sent_ = true;
        answer_begun_ = false;
        if (no_body_)
            parser_.expect_no_body();
        bool const written = stream_->write(
            head_, body_ ? std::string_view(*body_) : std::string_view());
        head_.clear();
        if (!written)
        {
            sent_ = false;
            fail_later(call_failure::not_sent);
        }
    }

    //! One message has ended; an interim answer or one for another request is
    //! followed by the one awaited.
    void end_message(bool nothing_follows)
    {
        auto const head = parser_.response();
        bool const awaited = !skipping_ && !interim_;
        skipping_ = false;
        if (!awaited)
        {
            if (head.keep_alive || interim_)
            {
                parser_.next();
                if (no_body_)
                    parser_.expect_no_body();
                return;
            }
            fail(call_failure::no_answer, true);
            return;
        }
        auto* awaiting = std::exchange(handler_, nullptr);
        auto const owned = std::exchange(owned_, nullptr);
        auto const call = call_;
        body_.reset();
        bool const reusable = keep_ && head.keep_alive && nothing_follows &&
                              !head.body_ends_at_close &&
                              stream_->queued() == 0 && stream_->is_open();
        auto const self = shared_from_this();
        client_.finished(call);
        if (reusable)
        {
            auto const seconds = http::keep_alive_seconds(head.headers);
            duration const limit =
                seconds ? duration(std::chrono::seconds(*seconds))
                        : default_idle_limit;
            client_.keep(self, limit - idle_margin);
        }
        else
            drop();
        awaiting->on_answer_end();
    }

    void fail(call_failure failure, bool reset)
    {
        auto* awaiting = std::exchange(handler_, nullptr);
        auto const owned = std::exchange(owned_, nullptr);
        auto const self = shared_from_this();
        client_.finished(call_);
        drop();
        if (awaiting != nullptr)
            awaiting->on_answer_failed(failure, reset);
    }

    void fail_later(call_failure failure)
    {
        asio::post(client_.loop_,
                   [self = shared_from_this(), failure, call = call_]
                   {
                       if (self->handler_ != nullptr && self->call_ == call)
                           self->fail(failure, true);
                   });
    }

    http_client& client_;
    std::string const address_;
    std::shared_ptr<tcp_stream> stream_;
    http::message_parser parser_;
    answer_handler* handler_ = nullptr;
    std::shared_ptr<answer_handler> owned_; //!< when the call owns its handler
    call_id call_ = 0;
    std::string head_;
    std::shared_ptr<std::string const> body_;
    time_point connect_ends_{};
    time_point ends_{};
    bool connected_ = false;
    bool sent_ = false;
    bool answer_begun_ = false;
    bool skipping_ = false;
    bool interim_ = false;
    bool no_body_ = false;
    bool keep_ = true;
};

http_client::http_client(asio::io_context& loop, clock_function clock)
    : loop_(loop), clock_(std::move(clock))
{
}

http_client::~http_client()
{
    for (auto& it : calls_)
        it.second->drop();
    for (auto& list : idle_)
        for (auto& it : list.second)
            it.link->drop();
}

call_id http_client::call(std::string const& address, std::string head,
                          std::shared_ptr<std::string const> body,
                          call_options const& options, answer_handler& handler)
{
    auto link = options.keep_connection ? take_idle(address, options.max_idle)
                                        : nullptr;
    if (link == nullptr)
        link = std::make_shared<connection>(*this, address);
    auto const id = next_call_++;
    calls_.emplace(id, link);
    link->begin(id, std::move(head), std::move(body), options, handler,
                clock_());
    return id;
}

call_id http_client::call(std::string const& address, std::string head,
                          std::shared_ptr<std::string const> body,
                          call_options const& options,
                          std::shared_ptr<answer_handler> handler)
{
    auto const id =
        call(address, std::move(head), std::move(body), options, *handler);
    calls_[id]->keep(std::move(handler));
    return id;
}

void http_client::cancel(call_id call)
{
    auto const found = calls_.find(call);
    if (found == calls_.end())
        return;
    auto const link = std::move(found->second);
    calls_.erase(found);
    link->drop();
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

void http_client::finished(call_id call)
{
    calls_.erase(call);
}

void http_client::keep(std::shared_ptr<connection> link, duration idle_limit)
{
    auto const now = clock_();
    if (idle_limit <= duration::zero())
    {
        link->drop();
        return;
    }
    link->stream().resume_reading();
    auto& list = idle_[link->address()];
    list.push_back({std::move(link), now, now + idle_limit});
}

void http_client::drop_idle(connection const* link)
{
    auto const found = idle_.find(link->address());
    if (found == idle_.end())
        return;
    auto& list = found->second;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](idle_connection const& it)
                              { return it.link.get() == link; }),
               list.end());
}

std::shared_ptr<http_client::connection>
http_client::take_idle(std::string const& address, duration max_idle)
{
    auto const found = idle_.find(address);
    if (found == idle_.end())
        return nullptr;
    auto& list = found->second;
    auto const now = clock_();
    // The connection used last is the least likely to have been dropped.
    while (!list.empty())
    {
        auto entry = std::move(list.back());
        list.pop_back();
        if (entry.closes > now && now - entry.since <= max_idle &&
            entry.link->stream().is_open())
            return std::move(entry.link);
        entry.link->drop();
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
        it->check_times(now);
    for (auto& it : idle_)
    {
        auto& list = it.second;
        auto const kept = std::stable_partition(
            list.begin(), list.end(),
            [&](idle_connection const& entry) { return entry.closes > now; });
        for (auto gone = kept; gone != list.end(); ++gone)
            gone->link->drop();
        list.erase(kept, list.end());
    }
}

void http_client::forget(std::string const& address)
{
    auto const found = idle_.find(address);
    if (found == idle_.end())
        return;
    for (auto& it : found->second)
        it.link->drop();
    idle_.erase(found);
}

} // namespace buckthornvale::net
