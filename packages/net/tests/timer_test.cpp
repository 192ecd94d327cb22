#include <buckthornvale/net/timer.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace buckthornvale::net
{
namespace
{

using namespace std::chrono_literals;

// Two timers that expire together. Their handlers are queued at the same time,
// before the first of them runs.
class timer_test : public testing::Test
{
protected:
    void start_both(timer::handler first, timer::handler second)
    {
        one->start(1ms, std::move(first));
        other->start(2ms, std::move(second));
        std::this_thread::sleep_for(20ms);
    }

    asio::io_context loop;
    std::unique_ptr<timer> one = std::make_unique<timer>(loop);
    std::unique_ptr<timer> other = std::make_unique<timer>(loop);
    int calls = 0;
};

TEST_F(timer_test, calls_its_handler_once)
{
    start_both([this] { ++calls; }, [this] { ++calls; });
    loop.run();
    EXPECT_EQ(calls, 2);
}

// A queued handler of a destroyed object read freed memory.
TEST_F(timer_test, does_not_call_the_queued_handler_of_a_destroyed_timer)
{
    start_both([this] { other.reset(); }, [this] { ++calls; });
    loop.run();
    EXPECT_EQ(calls, 0);
}

TEST_F(timer_test, does_not_call_the_queued_handler_of_a_restarted_timer)
{
    start_both([this] { other->start(1ms, [this] { calls += 10; }); },
               [this] { ++calls; });
    loop.run();
    EXPECT_EQ(calls, 10);
}

TEST_F(timer_test, can_be_destroyed_and_restarted_by_its_handler)
{
    start_both([this] { one.reset(); },
               [this] { other->start(1ms, [this] { ++calls; }); });
    loop.run();
    EXPECT_EQ(calls, 1);
}

} // namespace
} // namespace buckthornvale::net
