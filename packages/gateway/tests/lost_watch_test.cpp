#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using std::chrono::steady_clock;

//! A gateway whose watch of the runners waits on a connection that returns
//! nothing further. The disturbance ends at once: new connections work.
class lost_watch : public fleet_fixture
{
protected:
    lost_watch() : gateway(start_gateway("vm-0"))
    {
        wait_for_runners();
        run_for(100ms);
        lost_at = steady_clock::now();
        object_store.lose_watches("servers");
        // This is the answer that is lost.
        object_store.put_runner("third", first->entry("other"));
        run_until_settled();
    }

    void run_until_settled()
    {
        auto const settled_at = lost_at + settle_time;
        run_until([&] { return steady_clock::now() >= settled_at; });
    }

    //! Sends requests for a second from the moment at which the first runner
    //! must get no more.
    void expect_nothing_at_first_runner()
    {
        run_for(drain_timeout);
        auto const received = first->received.size();
        for (int n = 0; n < 20; ++n)
        {
            EXPECT_TRUE(
                contains(exchange(request("POST", "/book/x", "")), "200 OK"));
            run_for(50ms);
        }
        EXPECT_EQ(first->received.size(), received);
    }

    std::unique_ptr<runner> first = add_runner("plain-1", "plain");
    std::unique_ptr<runner> second = add_runner("plain-2", "plain");
    std::unique_ptr<gateway_process> gateway;
    steady_clock::time_point lost_at;
};

// A draining runner got requests until the watch timed out, 9.5 s after its
// answer was lost.
TEST_F(lost_watch, is_noticed_before_a_draining_runner_stops)
{
    auto entry = first->entry("plain");
    entry["state"] = "draining";
    object_store.put_runner("plain-1", entry);
    expect_nothing_at_first_runner();
}

// Some runners leave without a word; they serve as long after the removal of
// their entry. The gateway took the removal for a loss in an outage that had
// only just ended.
TEST_F(lost_watch, is_noticed_before_a_removed_runner_stops)
{
    object_store.remove("servers", "plain-1");
    expect_nothing_at_first_runner();
}

} // namespace
} // namespace buckthornvale::gateway
