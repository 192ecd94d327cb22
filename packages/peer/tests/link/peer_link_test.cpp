#include <buckthornvale/peer/link/peer_link.hpp>

#include <gtest/gtest.h>

#include <array>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace buckthornvale::peer
{
namespace
{

using decision::vm_id;
using decision::fleet::link_event;

// A link with a record of what it saw. Waits end by an event, not by a time.
class endpoint
{
public:
    explicit endpoint(char const* name, std::uint16_t port = 0,
                      std::size_t queue_bytes = 4 << 20)
        : id(vm_id::of(name)), link_(settings(port, queue_bytes), handlers())
    {
        EXPECT_TRUE(link_.start().ok());
    }
    ~endpoint() { link_.stop(); }

    void expect(endpoint const& other, bool dial, bool keep = true)
    {
        peer_address const peer{other.id, "127.0.0.1", other.link_.port(), keep,
                                dial};
        link_.set_peers({&peer, 1});
    }
    void wait_event(link_event event)
    {
        wait([&] { return seen_[static_cast<std::size_t>(event)] > 0; });
    }
    void wait_messages(std::size_t n)
    {
        wait([&] { return received_.size() >= n; });
    }
    void wait_not_sent()
    {
        wait([&] { return not_sent_ > 0; });
    }
    std::vector<message> messages()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return received_;
    }
    peer_link& link() { return link_; }

    vm_id id;

private:
    link_settings settings(std::uint16_t port, std::size_t queue_bytes) const
    {
        link_settings settings;
        settings.self = id;
        settings.port = port;
        settings.queue_bytes = queue_bytes;
        settings.backoff_first = settings.tick = std::chrono::milliseconds(5);
        return settings;
    }
    link_handlers handlers()
    {
        return {[this](vm_id, message value)
                { note([&] { received_.push_back(std::move(value)); }); },
                [this](vm_id, link_event event, std::uint64_t)
                { note([&] { ++seen_[static_cast<std::size_t>(event)]; }); },
                [this](vm_id) { note([&] { ++not_sent_; }); }};
    }
    void note(std::function<void()> const& change)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        change();
        changed_.notify_all();
    }
    void wait(std::function<bool()> const& done)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, done);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<message> received_;
    std::array<int, 6> seen_{};
    int not_sent_ = 0;
    peer_link link_;
};

// Guards against messages that are lost or reordered on a healthy link.
TEST(peer_link, delivers_messages_in_order_both_ways)
{
    endpoint a("a");
    endpoint b("b");
    a.expect(b, true);
    b.expect(a, false);
    a.wait_event(link_event::connected);
    b.wait_event(link_event::connected);
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        EXPECT_TRUE(a.link().send(b.id, ping{b.id, n}).ok());
        EXPECT_TRUE(b.link().send(a.id, ack{b.id, n}).ok());
    }
    a.wait_messages(200);
    b.wait_messages(200);
    auto const received = b.messages();
    for (std::uint64_t n = 0; n < 200; ++n)
        EXPECT_EQ(std::get<ping>(received[n]).sequence, n);
}

// Guards against a link that stays down after the peer's process was replaced,
// and against a crash that looks like a shutdown.
TEST(peer_link, reports_the_end_and_connects_again)
{
    endpoint a("a");
    std::uint16_t port = 0;
    {
        endpoint b("b");
        port = b.link().port();
        b.expect(a, false);
        a.expect(b, true);
        a.wait_event(link_event::connected);
        b.wait_event(link_event::connected);
    }
    a.wait_event(link_event::goodbye);
    a.wait_event(link_event::refused);
    endpoint b("b", port);
    b.expect(a, false);
    b.wait_event(link_event::connected);
    EXPECT_TRUE(b.link().send(a.id, goodbye{}).ok());
}

// Guards against claims to a committer outside the topology that never go out,
// which would wait for the forward timeout each time.
TEST(peer_link, opens_links_on_demand)
{
    endpoint a("a");
    endpoint b("b");
    b.expect(a, false, false);
    a.expect(b, false, false);
    // The order of the two lists and the dial is fixed by a's own thread; b
    // refuses until it knows a.
    while (b.messages().empty())
    {
        EXPECT_TRUE(a.link().send(b.id, ping{b.id, 1}).ok());
        std::this_thread::yield();
    }
}

// Guards against unbounded memory for a peer that cannot be reached, and
// against a caller that is not told.
TEST(peer_link, bounds_what_waits_and_tells_the_sender)
{
    endpoint a("a", 0, 64);
    endpoint b("b");
    a.expect(b, false);
    decision::config::settings_push push;
    push.objects = {{"settings/x", 1, false, std::string(1000, 'x')}};
    EXPECT_TRUE(absl::IsResourceExhausted(a.link().send(b.id, push)));
    a.wait_not_sent();
    EXPECT_GE(a.link().counters().dropped, 1U);
}

} // namespace
} // namespace buckthornvale::peer
