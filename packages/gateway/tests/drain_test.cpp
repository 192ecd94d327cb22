#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using standins::fleet_platform::received_request;
using standins::fleet_platform::scripted_answer;

class gateway_drain : public fleet_fixture
{
protected:
    gateway_drain() : gateway(start_gateway("vm-0")) {}

    //! The runner takes the next request and never answers it.
    void keep_next_answer()
    {
        plain->script.emplace_back(
            [](received_request const&)
            {
                scripted_answer out;
                out.silent = true;
                return out;
            });
    }

    std::unique_ptr<runner> plain = add_runner("plain-1", "plain");
    std::unique_ptr<gateway_process> gateway;
};

// A request that came late in the grace period, on a connection that was open
// before, was sent to a runner and cut off with the process.
TEST_F(gateway_drain, refuses_a_request_that_comes_late)
{
    auto const text = request("POST", "/book/x", "body");
    recording_caller caller(loop, callers_port);
    caller.send(text.substr(0, text.size() / 2));
    run_for(100ms);
    gateway->drain();
    run_for(2700ms);
    EXPECT_FALSE(caller.ended);
    caller.send(text.substr(text.size() / 2));
    EXPECT_TRUE(run_until([&] { return caller.ended; }));
    EXPECT_TRUE(contains(caller.received, "HTTP/1.1 503")) << caller.received;
    EXPECT_TRUE(contains(caller.received, "Retry-After: "));
    EXPECT_TRUE(plain->received.empty());
}

// A request that a runner does not finish in time ended with its connection
// and without an answer.
TEST_F(gateway_drain, answers_what_is_unfinished_at_its_end)
{
    keep_next_answer();
    recording_caller caller(loop, callers_port);
    caller.send(request("POST", "/book/x", "body"));
    EXPECT_TRUE(run_until([&] { return plain->received.size() == 1; }));
    platform::node_settings shorter;
    shorter.grace_period = 1500ms;
    gateway->reload(shorter);
    gateway->drain();
    run_for(1100ms);
    EXPECT_TRUE(contains(caller.received, "HTTP/1.1 502")) << caller.received;
}

// Guards against a shorter grace period that is read during a drain: the
// process exits by the new one, but gives its requests up by the old one.
TEST_F(gateway_drain, answers_all_when_the_grace_period_is_shortened)
{
    keep_next_answer();
    recording_caller caller(loop, callers_port);
    caller.send(request("POST", "/book/x", "body"));
    ASSERT_TRUE(run_until([&] { return plain->received.size() == 1; }));
    gateway->drain();
    run_for(300ms);
    platform::node_settings shorter;
    shorter.grace_period = 3s;
    gateway->reload(shorter);
    // The gateway stops the loop when it exits.
    auto const start = std::chrono::steady_clock::now();
    loop.restart();
    loop.run_for(5s);
    auto const took = std::chrono::steady_clock::now() - start;
    EXPECT_LT(took, 3s);
    EXPECT_TRUE(contains(caller.received, "HTTP/1.1 502")) << caller.received;
}

// A request whose caller had left and whose runner never answered was kept with
// its body for ever, until the VM had no memory left. It also held up the
// drain.
TEST_F(gateway_drain, waits_for_no_caller_that_has_left)
{
    keep_next_answer();
    {
        recording_caller caller(loop, callers_port);
        caller.send(request("POST", "/book/x", "body"));
        ASSERT_TRUE(run_until([&] { return plain->received.size() == 1; }));
    }
    // The deadline of the request.
    run_for(3200ms);
    gateway->drain();
    auto const start = std::chrono::steady_clock::now();
    loop.restart();
    loop.run_for(6s);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 4s);
}

} // namespace
} // namespace buckthornvale::gateway
