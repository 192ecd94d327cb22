#include "endpoint.hpp"
#include <buckthornvale/peer/codec/codec.hpp>
#include <buckthornvale/peer/link/peer_link.hpp>

#include <absl/container/flat_hash_map.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace buckthornvale::peer
{

using decision::vm_id;
using decision::fleet::link_event;
using clock = std::chrono::steady_clock;

//! State on the links' thread. Only send(), port() and counters() are called
//! from other threads.
class peer_link::impl
{
public:
    impl(link_settings settings, link_handlers handlers)
        : settings_(std::move(settings)), handlers_(std::move(handlers)),
          random_(settings_.seed), timer_(io_)
    {
    }

    absl::Status start();
    void stop();
    std::uint16_t port() const { return port_; }
    void set_peers(std::vector<peer_address> peers);
    absl::Status send(vm_id to, message const& value);
    link_counters counters() const;

private:
    using handle = websocketpp::connection_hdl;
    using handle_order = std::owner_less<handle>;

    struct peer_state
    {
        peer_address address;
        std::optional<handle> open;    //!< after the peer's hello
        std::optional<handle> dialing; //!< outgoing, before the hello
        std::deque<std::string> waiting;
        std::size_t waiting_bytes = 0;
        bool extra = false; //!< opened on demand
        bool leaving = false;
        std::uint64_t incarnation = 0;
        int failures = 0;
        clock::time_point next_dial{};
        clock::time_point used{};
    };

    struct connection_state
    {
        std::optional<vm_id> expected; //!< outgoing: the dialled VM
        std::optional<vm_id> vm;       //!< after its hello
        bool outgoing = false;
        clock::time_point opened{};
    };

    template <class Endpoint>
    void set_handlers(Endpoint& endpoint, bool outgoing);
    void apply_peers(std::vector<peer_address> const& peers);
    void opened(handle const& id, bool outgoing);
    void ended(handle const& id, bool refused);
    void received(handle const& id, std::string const& payload);
    bool replaces(peer_state const& peer, connection_state const& state,
                  std::uint64_t incarnation) const;
    void greeted(handle const& id, connection_state& state, hello const& value);
    void dial(peer_state& peer);
    void dial_failed(peer_state& peer, link_event event);
    void deliver(vm_id to, std::string bytes);
    bool write(handle const& id, bool outgoing, std::string const& bytes);
    void flush(peer_state& peer);
    void close(handle const& id);
    void drop(vm_id to);
    void tick();
    void arm_timer();
    void report(vm_id vm, link_event event, std::uint64_t incarnation = 0);
    std::size_t extra_links() const;

    link_settings settings_;
    link_handlers handlers_;
    pcg32 random_;
    asio::io_context io_;
    asio::steady_timer timer_;
    detail::server server_;
    detail::client client_;
    std::thread thread_;
    std::uint16_t port_ = 0;
    bool stopping_ = false;
    std::map<handle, connection_state, handle_order> connections_;
    absl::flat_hash_map<vm_id, peer_state> peers_;
    std::atomic<std::size_t> posted_bytes_{0};
    mutable std::mutex counters_mutex_;
    link_counters counters_;
};

template <class Endpoint>
void peer_link::impl::set_handlers(Endpoint& endpoint, bool outgoing)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io_);
    endpoint.set_max_message_size(max_message_bytes);
    endpoint.set_open_handshake_timeout(settings_.connect_timeout.count());
    endpoint.set_open_handler([this, outgoing](handle const& id)
                              { opened(id, outgoing); });
    endpoint.set_close_handler([this](handle const& id) { ended(id, false); });
    endpoint.set_fail_handler(
        [this, &endpoint](handle const& id)
        {
            websocketpp::lib::error_code ec;
            auto const connection = endpoint.get_con_from_hdl(id, ec);
            bool const refused =
                connection &&
                connection->get_ec() == asio::error::connection_refused;
            ended(id, refused);
        });
    endpoint.set_message_handler(
        [this](handle const& id, typename Endpoint::message_ptr const& value)
        { received(id, value->get_payload()); });
}

absl::Status peer_link::impl::start()
{
    asio::error_code parse_error;
    auto const address = asio::ip::make_address(settings_.address, parse_error);
    if (parse_error)
        return absl::InvalidArgumentError("the peer address is no IP address");
    set_handlers(server_, false);
    set_handlers(client_, true);
    server_.set_reuse_addr(true);
    server_.set_validate_handler(
        [this](handle const&)
        { return connections_.size() < settings_.max_accepted; });
    websocketpp::lib::error_code ec;
    server_.listen(asio::ip::tcp::endpoint(address, settings_.port), ec);
    if (ec)
        return absl::UnavailableError("the peer port cannot be listened on: " +
                                      ec.message());
    server_.start_accept(ec);
    asio::error_code local_error;
    port_ = server_.get_local_endpoint(local_error).port();
    if (ec || local_error)
        return absl::UnavailableError("the peer port accepts no connections");
    arm_timer();
    thread_ = std::thread([this] { io_.run(); });
    return absl::OkStatus();
}

void peer_link::impl::stop()
{
    if (!thread_.joinable())
        return;
    asio::post(io_,
               [this]
               {
                   stopping_ = true;
                   websocketpp::lib::error_code ec;
                   server_.stop_listening(ec);
                   timer_.cancel();
                   auto const bytes = encode(goodbye{});
                   std::vector<handle> ids;
                   for (auto const& it : connections_)
                       ids.push_back(it.first);
                   for (auto const& id : ids)
                   {
                       write(id, connections_[id].outgoing, bytes);
                       close(id);
                   }
                   if (connections_.empty())
                       io_.stop();
                   // A peer that does not answer the close must not keep the
                   // thread.
                   auto last = std::make_shared<asio::steady_timer>(io_);
                   last->expires_after(std::chrono::milliseconds(200));
                   last->async_wait([this, last](asio::error_code const&)
                                    { io_.stop(); });
               });
    thread_.join();
}

void peer_link::impl::report(vm_id vm, link_event event,
                             std::uint64_t incarnation)
{
    if (handlers_.event)
        handlers_.event(vm, event, incarnation);
}

void peer_link::impl::set_peers(std::vector<peer_address> peers)
{
    asio::post(io_, [this, peers = std::move(peers)] { apply_peers(peers); });
}

void peer_link::impl::apply_peers(std::vector<peer_address> const& peers)
{
    absl::flat_hash_map<vm_id, peer_state> kept;
    for (auto const& it : peers)
    {
        auto const held = peers_.find(it.vm);
        if (held == peers_.end())
        {
            kept[it.vm].address = it;
            continue;
        }
        auto& state = kept[it.vm];
        state = std::move(held->second);
        // A link that leaves the topology ends like one opened on demand.
        if (state.address.link && !it.link)
            state.extra = true;
        state.address = it;
        if (it.link)
            state.extra = false;
        peers_.erase(held);
    }
    auto const gone = std::exchange(peers_, std::move(kept));
    for (auto const& it : gone)
    {
        for (auto const& id : {it.second.open, it.second.dialing})
        {
            if (id)
                close(*id);
        }
    }
}

absl::Status peer_link::impl::send(vm_id to, message const& value)
{
    auto bytes = encode(value);
    if (posted_bytes_ + bytes.size() > settings_.queue_bytes)
    {
        drop(to);
        return absl::ResourceExhaustedError(
            "too many bytes wait for the peer links' thread");
    }
    posted_bytes_ += bytes.size();
    asio::post(io_,
               [this, to, bytes = std::move(bytes)]() mutable
               {
                   posted_bytes_ -= bytes.size();
                   deliver(to, std::move(bytes));
               });
    return absl::OkStatus();
}

link_counters peer_link::impl::counters() const
{
    std::lock_guard<std::mutex> const lock(counters_mutex_);
    return counters_;
}

void peer_link::impl::drop(vm_id to)
{
    {
        std::lock_guard<std::mutex> const lock(counters_mutex_);
        ++counters_.dropped;
    }
    if (handlers_.not_sent)
        handlers_.not_sent(to);
}

std::size_t peer_link::impl::extra_links() const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [](auto const& it)
                                                  { return it.second.extra; }));
}

void peer_link::impl::deliver(vm_id to, std::string bytes)
{
    auto const it = peers_.find(to);
    if (it == peers_.end())
    {
        drop(to);
        return;
    }
    auto& peer = it->second;
    peer.used = clock::now();
    if (peer.open)
    {
        auto const connection = connections_.find(*peer.open);
        if (connection == connections_.end() ||
            !write(*peer.open, connection->second.outgoing, bytes))
            drop(to);
        return;
    }
    bool const on_demand = !peer.address.link && !peer.extra;
    if (on_demand && extra_links() >= settings_.max_extra_links)
    {
        drop(to);
        return;
    }
    // While the peer cannot be reached, what waits would only get old.
    bool const full = peer.waiting_bytes + bytes.size() > settings_.queue_bytes;
    if (full || peer.failures > 0)
    {
        drop(to);
        return;
    }
    peer.extra = peer.extra || on_demand;
    peer.waiting_bytes += bytes.size();
    peer.waiting.push_back(std::move(bytes));
    if (peer.extra && !peer.dialing)
        dial(peer);
}

bool peer_link::impl::write(handle const& id, bool outgoing,
                            std::string const& bytes)
{
    websocketpp::lib::error_code ec;
    auto const send = [&](auto& endpoint)
    {
        auto const connection = endpoint.get_con_from_hdl(id, ec);
        if (ec)
            return false;
        auto const waiting = connection->get_buffered_amount();
        if (waiting + bytes.size() > settings_.queue_bytes)
            return false;
        ec = connection->send(bytes, websocketpp::frame::opcode::binary);
        return !ec;
    };
    bool const sent = outgoing ? send(client_) : send(server_);
    if (!sent)
        return false;
    std::lock_guard<std::mutex> const lock(counters_mutex_);
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
    return true;
}

void peer_link::impl::flush(peer_state& peer)
{
    auto const waiting = std::exchange(peer.waiting, {});
    peer.waiting_bytes = 0;
    auto const outgoing = connections_[*peer.open].outgoing;
    for (auto const& it : waiting)
    {
        if (!write(*peer.open, outgoing, it))
            drop(peer.address.vm);
    }
}

void peer_link::impl::close(handle const& id)
{
    auto const it = connections_.find(id);
    if (it == connections_.end())
        return;
    websocketpp::lib::error_code ec;
    auto const code = websocketpp::close::status::going_away;
    if (it->second.outgoing)
        client_.close(id, code, "", ec);
    else
        server_.close(id, code, "", ec);
}

void peer_link::impl::dial(peer_state& peer)
{
    websocketpp::lib::error_code ec;
    auto const host = peer.address.host.find(':') == std::string::npos
                          ? peer.address.host
                          : "[" + peer.address.host + "]";
    auto const uri =
        "ws://" + host + ":" + std::to_string(peer.address.port) + "/peer";
    auto const connection = client_.get_connection(uri, ec);
    if (ec)
    {
        dial_failed(peer, link_event::timed_out);
        return;
    }
    auto const id = connection->get_handle();
    peer.dialing = id;
    auto& state = connections_[id];
    state.outgoing = true;
    state.expected = peer.address.vm;
    state.opened = clock::now();
    client_.connect(connection);
}

void peer_link::impl::dial_failed(peer_state& peer, link_event event)
{
    constexpr int max_doublings = 10;
    auto const doublings = std::min(peer.failures, max_doublings);
    auto const wait = std::min(settings_.backoff_first * (1 << doublings),
                               settings_.backoff_last);
    ++peer.failures;
    auto const half = static_cast<std::uint32_t>(wait.count() / 2 + 1);
    peer.next_dial =
        clock::now() + wait / 2 + std::chrono::milliseconds(random_(half));
    auto const vm = peer.address.vm;
    auto const lost = peer.waiting.size();
    peer.waiting.clear();
    peer.waiting_bytes = 0;
    report(vm, event);
    for (std::size_t i = 0; i < lost; ++i)
        drop(vm);
}

void peer_link::impl::opened(handle const& id, bool outgoing)
{
    auto& state = connections_[id];
    state.outgoing = outgoing;
    state.opened = clock::now();
    // The other side learns who this is; a link counts once both said hello.
    if (!write(id, outgoing,
               encode(hello{settings_.self, settings_.incarnation})))
        close(id);
}

void peer_link::impl::ended(handle const& id, bool refused)
{
    auto const it = connections_.find(id);
    if (it == connections_.end())
        return;
    auto const state = it->second;
    connections_.erase(it);
    auto const vm = state.vm ? state.vm : state.expected;
    auto const peer = vm ? peers_.find(*vm) : peers_.end();
    if (stopping_ && connections_.empty())
        io_.stop();
    if (peer == peers_.end() || stopping_)
        return;
    auto const same = [&](std::optional<handle> const& other) {
        return other && !handle_order()(*other, id) &&
               !handle_order()(id, *other);
    };
    auto& held = peer->second;
    if (same(held.dialing))
    {
        held.dialing.reset();
        if (refused)
        {
            std::lock_guard<std::mutex> const lock(counters_mutex_);
            ++counters_.refused;
        }
        dial_failed(held,
                    refused ? link_event::refused : link_event::timed_out);
        return;
    }
    if (!same(held.open))
        return;
    held.open.reset();
    held.next_dial = clock::now() + settings_.backoff_first;
    bool const expected_end = std::exchange(held.leaving, false) || held.extra;
    held.extra = false;
    if (!expected_end)
        report(*vm, link_event::reset);
}

bool peer_link::impl::replaces(peer_state const& peer,
                               connection_state const& state,
                               std::uint64_t incarnation) const
{
    auto const old = connections_.find(*peer.open);
    if (old == connections_.end() || peer.incarnation != incarnation)
        return true;
    // When both sides dial at once, both keep the one of the lower id.
    auto const vm = peer.address.vm;
    auto const dialer = [&](connection_state const& it)
    { return it.outgoing ? settings_.self : vm; };
    return !(dialer(old->second) < dialer(state));
}

void peer_link::impl::greeted(handle const& id, connection_state& state,
                              hello const& value)
{
    auto const peer = peers_.find(value.vm);
    bool const wrong = state.expected && *state.expected != value.vm;
    if (peer == peers_.end() || wrong || value.vm == settings_.self)
    {
        close(id);
        return;
    }
    state.vm = value.vm;
    auto& held = peer->second;
    if (state.outgoing)
        held.dialing.reset();
    if (held.open && !replaces(held, state, value.incarnation))
    {
        close(id);
        return;
    }
    held.incarnation = value.incarnation;
    auto const previous = std::exchange(held.open, id);
    held.failures = 0;
    held.leaving = false;
    held.used = clock::now();
    if (!held.address.link)
        held.extra = true;
    if (previous)
        close(*previous);
    {
        std::lock_guard<std::mutex> const lock(counters_mutex_);
        ++counters_.connects;
    }
    flush(held);
    report(value.vm, link_event::connected, value.incarnation);
}

void peer_link::impl::received(handle const& id, std::string const& payload)
{
    auto const it = connections_.find(id);
    if (it == connections_.end())
        return;
    auto decoded = decode(payload);
    {
        std::lock_guard<std::mutex> const lock(counters_mutex_);
        ++counters_.received;
        counters_.received_bytes += payload.size();
        if (!decoded.ok() && absl::IsUnimplemented(decoded.status()))
            ++counters_.unknown_type;
        else if (!decoded.ok())
            ++counters_.damaged;
    }
    if (!decoded.ok())
        return;
    auto& state = it->second;
    if (auto const* value = std::get_if<hello>(&*decoded))
    {
        greeted(id, state, *value);
        return;
    }
    if (!state.vm)
    {
        close(id);
        return;
    }
    auto const vm = *state.vm;
    auto const peer = peers_.find(vm);
    if (peer == peers_.end())
        return;
    peer->second.used = clock::now();
    if (std::holds_alternative<goodbye>(*decoded))
    {
        peer->second.leaving = true;
        report(vm, link_event::goodbye);
        return;
    }
    if (handlers_.received)
        handlers_.received(vm, *std::move(decoded));
}

void peer_link::impl::arm_timer()
{
    timer_.expires_after(settings_.tick);
    timer_.async_wait(
        [this](asio::error_code const& ec)
        {
            if (ec || stopping_)
                return;
            tick();
            arm_timer();
        });
}

void peer_link::impl::tick()
{
    auto const now = clock::now();
    std::vector<handle> silent;
    for (auto const& it : connections_)
    {
        auto const limit = settings_.connect_timeout + settings_.hello_timeout;
        if (!it.second.vm && now - it.second.opened > limit)
            silent.push_back(it.first);
    }
    for (auto& it : peers_)
    {
        auto& peer = it.second;
        if (peer.extra && peer.open && now - peer.used > settings_.extra_idle)
            silent.push_back(*peer.open);
        bool const wanted = peer.address.link && peer.address.dial;
        if (wanted && !peer.open && !peer.dialing && now >= peer.next_dial)
            dial(peer);
    }
    for (auto const& id : silent)
        close(id);
}

peer_link::peer_link(link_settings settings, link_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(handlers)))
{
}

peer_link::~peer_link()
{
    stop();
}

absl::Status peer_link::start()
{
    return impl_->start();
}

void peer_link::stop()
{
    impl_->stop();
}

std::uint16_t peer_link::port() const
{
    return impl_->port();
}

void peer_link::set_peers(absl::Span<peer_address const> peers)
{
    impl_->set_peers({peers.begin(), peers.end()});
}

absl::Status peer_link::send(vm_id to, message const& value)
{
    return impl_->send(to, value);
}

link_counters peer_link::counters() const
{
    return impl_->counters();
}

} // namespace buckthornvale::peer
