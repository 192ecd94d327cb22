#include "peer_link_impl.hpp"

#include <buckthornvale/peer/codec/codec.hpp>

#include <memory>
#include <utility>
#include <variant>

namespace buckthornvale::peer
{

using decision::vm_id;
using clock = std::chrono::steady_clock;

peer_link::impl::impl(link_settings settings, link_handlers handlers)
    : settings_(std::move(settings)), handlers_(std::move(handlers)),
      backoff_(settings_), timer_(io_), transport_(io_, make_handlers())
{
}

detail::transport_handlers peer_link::impl::make_handlers()
{
    return {[this](handle const& id, bool outgoing) { opened(id, outgoing); },
            [this](handle const& id, bool refused) { ended(id, refused); },
            [this](handle const& id, std::string const& payload)
            { received(id, payload); },
            [this] { return connections_.size() < settings_.max_accepted; }};
}

absl::Status peer_link::impl::start()
{
    auto listening = transport_.listen(settings_);
    if (!listening.ok())
        return listening;
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
                   transport_.stop_listening();
                   timer_.cancel();
                   auto const bytes = encode(goodbye{});
                   for (auto const& id : connections_.ids())
                   {
                       write(id, connections_.add(id).outgoing, bytes);
                       close(id);
                   }
                   if (connections_.size() == 0)
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
    for (auto const& id : peers_.replace(peers))
        close(id);
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

void peer_link::impl::drop(vm_id to)
{
    counts_.dropped();
    if (handlers_.not_sent)
        handlers_.not_sent(to);
}

void peer_link::impl::deliver(vm_id to, std::string bytes)
{
    auto* const found = peers_.find(to);
    if (found == nullptr)
    {
        drop(to);
        return;
    }
    auto& peer = *found;
    peer.used = clock::now();
    if (peer.open)
    {
        auto const* connection = connections_.find(*peer.open);
        if (connection == nullptr ||
            !write(*peer.open, connection->outgoing, bytes))
            drop(to);
        return;
    }
    bool const on_demand = !peer.address.link && !peer.extra;
    if (on_demand && peers_.extra_links() >= settings_.max_extra_links)
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
    if (!transport_.send(id, outgoing, bytes, settings_.queue_bytes))
        return false;
    counts_.sent(bytes.size());
    return true;
}

void peer_link::impl::flush(peer_state& peer)
{
    auto const waiting = std::exchange(peer.waiting, {});
    peer.waiting_bytes = 0;
    auto const outgoing = connections_.add(*peer.open).outgoing;
    for (auto const& it : waiting)
    {
        if (!write(*peer.open, outgoing, it))
            drop(peer.address.vm);
    }
}

void peer_link::impl::close(handle const& id)
{
    if (auto const* state = connections_.find(id))
        transport_.close(id, state->outgoing);
}

void peer_link::impl::dial(peer_state& peer)
{
    auto const connection = transport_.prepare(peer.address);
    if (!connection)
    {
        dial_failed(peer, link_event::timed_out);
        return;
    }
    auto const id = connection->get_handle();
    peer.dialing = id;
    auto& state = connections_.add(id);
    state.outgoing = true;
    state.expected = peer.address.vm;
    state.opened = clock::now();
    transport_.connect(connection);
}

void peer_link::impl::dial_failed(peer_state& peer, link_event event)
{
    auto const wait = backoff_.wait_after(peer.failures);
    ++peer.failures;
    peer.next_dial = clock::now() + wait;
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
    auto& state = connections_.add(id);
    state.outgoing = outgoing;
    state.opened = clock::now();
    // The other side learns who this is; a link counts once both said hello.
    if (!write(id, outgoing,
               encode(hello{settings_.self, settings_.incarnation})))
        close(id);
}

void peer_link::impl::ended(handle const& id, bool refused)
{
    auto const state = connections_.take(id);
    if (!state)
        return;
    auto const vm = state->vm ? state->vm : state->expected;
    auto* const peer = vm ? peers_.find(*vm) : nullptr;
    if (stopping_ && connections_.size() == 0)
        io_.stop();
    if (peer == nullptr || stopping_)
        return;
    auto const same = [&](std::optional<handle> const& other)
    {
        return other && !detail::handle_order()(*other, id) &&
               !detail::handle_order()(id, *other);
    };
    auto& held = *peer;
    if (same(held.dialing))
    {
        held.dialing.reset();
        if (refused)
            counts_.refused();
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
    auto const* old = connections_.find(*peer.open);
    if (old == nullptr || peer.incarnation != incarnation)
        return true;
    // When both sides dial at once, both keep the one of the lower id.
    auto const vm = peer.address.vm;
    auto const dialer = [&](connection_state const& it)
    { return it.outgoing ? settings_.self : vm; };
    return !(dialer(*old) < dialer(state));
}

void peer_link::impl::greeted(handle const& id, connection_state& state,
                              hello const& value)
{
    auto* const peer = peers_.find(value.vm);
    bool const wrong = state.expected && *state.expected != value.vm;
    if (peer == nullptr || wrong || value.vm == settings_.self)
    {
        close(id);
        return;
    }
    state.vm = value.vm;
    auto& held = *peer;
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
    counts_.connected();
    flush(held);
    report(value.vm, link_event::connected, value.incarnation);
}

void peer_link::impl::received(handle const& id, std::string const& payload)
{
    auto* const state = connections_.find(id);
    if (state == nullptr)
        return;
    auto decoded = decode(payload);
    counts_.received(payload.size(), decoded.status());
    if (!decoded.ok())
        return;
    if (auto const* value = std::get_if<hello>(&*decoded))
    {
        greeted(id, *state, *value);
        return;
    }
    if (!state->vm)
    {
        close(id);
        return;
    }
    auto const vm = *state->vm;
    auto* const peer = peers_.find(vm);
    if (peer == nullptr)
        return;
    peer->used = clock::now();
    if (std::holds_alternative<goodbye>(*decoded))
    {
        peer->leaving = true;
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
    auto silent = connections_.without_hello(now, settings_.connect_timeout +
                                                      settings_.hello_timeout);
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

} // namespace buckthornvale::peer
