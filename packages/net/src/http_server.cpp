#include <buckthornvale/net/http_server.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <vector>

namespace buckthornvale::net
{

namespace
{

constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

http_server::http_server(asio::io_context& loop, request_handler& handler,
                         limits_function limits, clock_function clock,
                         std::shared_ptr<memory_budget> memory)
    : loop_(loop), acceptor_(loop), accept_retry_timer_(loop),
      handler_(handler), limits_(std::move(limits)), clock_(std::move(clock)),
      memory_(std::move(memory))
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
    auto const limits = limits_();
    if (limits.replace_connections &&
        connections_.size() >= limits.max_connections)
        evict_for_new_connection();
    auto const id = next_id_++;
    auto connection =
        std::make_shared<server_connection>(*this, id, std::move(socket));
    bool const at_capacity = connections_.size() >= limits.max_connections;
    connections_.emplace(id, connection);
    // Starts reading even at capacity: closing a socket with unread bytes
    // resets the connection.
    connection->start();
    if (at_capacity)
        connection->reject(rejection::too_many_connections);
    else
        make_room_for(*connection, 0);
}

void http_server::evict_for_new_connection()
{
    auto const it = choose_connection_to_end();
    if (it == nullptr)
        return;
    it->end_for_others();
    it->close_now();
}

std::shared_ptr<server_connection> http_server::choose_connection_to_end()
{
    auto const now = clock_();
    std::vector<connection_load> loads;
    for (auto const& it : connections_)
        if (auto const load = it.second->load(now))
            loads.push_back(*load);
    while (auto const id = net::choose_connection_to_end(loads))
    {
        auto it = connections_.at(*id);
        if (!it->has_unread_request())
            return it;
        loads.erase(std::find_if(loads.begin(), loads.end(),
                                 [&](auto const& load)
                                 { return load.id == *id; }));
    }
    return nullptr;
}

//! True if the bytes fit once all other connections that may be ended have been
//! ended.
bool http_server::can_fit(server_connection const& asker,
                          std::size_t bytes) const
{
    auto const now = clock_();
    std::size_t freed = 0;
    for (auto const& it : connections_)
    {
        if (it.first == asker.id() || it.second->has_unread_request())
            continue;
        if (auto const load = it.second->load(now))
            freed += load->bytes;
    }
    return memory_->fits_after(freed, bytes);
}

//! Ends connections until the bytes fit or none may be ended. Returns false if
//! the asker is one of them.
bool http_server::end_connections_for(server_connection const* asker,
                                      std::size_t bytes)
{
    while (!memory_->fits(bytes))
    {
        auto const chosen = choose_connection_to_end();
        if (chosen == nullptr)
            break;
        chosen->end_for_others();
        if (chosen.get() == asker)
            return false;
    }
    return true;
}

//! Ends connections until the bytes fit. Returns false if this connection is
//! one of them. It is the only one if its bytes would not fit in any case.
bool http_server::make_room_for(server_connection& it, std::size_t bytes)
{
    if (bytes == 0 || memory_->fits(bytes) || can_fit(it, bytes))
        return end_connections_for(&it, bytes);
    it.end_for_others();
    return false;
}

//! Posted, because a handler may be about to use a connection that would be
//! ended.
void http_server::make_room_later()
{
    if (making_room_later_ || memory_->fits(0))
        return;
    making_room_later_ = true;
    asio::post(loop_,
               [this, server = std::weak_ptr<void>(lifetime_)]
               {
                   if (server.expired())
                       return;
                   making_room_later_ = false;
                   end_connections_for(nullptr, 0);
               });
}

void http_server::remove(std::uint64_t id)
{
    auto const found = connections_.find(id);
    if (found == connections_.end())
        return;
    found->second->release_memory();
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
