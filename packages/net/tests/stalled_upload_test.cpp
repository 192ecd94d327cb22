#include "../src/window_watch.hpp"
#include "unread_upload.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

namespace buckthornvale::net
{
namespace
{

using namespace std::chrono_literals;

//! The server fails within an upload as if its VM had lost its power: its
//! kernel drops all that arrives, and acknowledges nothing.
class stalled_upload : public unread_upload
{
protected:
    void lose_power()
    {
        sock_filter drop = {BPF_RET | BPF_K, 0, 0, 0};
        sock_fprog const program = {1, &drop};
        ASSERT_EQ(::setsockopt(server.native_handle(), SOL_SOCKET,
                               SO_ATTACH_FILTER, &program, sizeof(program)),
                  0);
    }

    void run_for(duration time)
    {
        loop.restart();
        loop.run_for(time);
    }
};

// Guards against a call that a dead server holds until its timeout. Nothing
// but the kernel's limit can end it here, since no timeouts are checked.
TEST_F(stalled_upload, fails_when_the_server_dies_before_it_reads)
{
    start_upload(long_upload);
    lose_power();
    run_until_ended();
    EXPECT_EQ(result->failure, call_failure::no_answer);
}

// The same after a pause that a living server may make.
TEST_F(stalled_upload, fails_when_the_server_dies_after_a_pause)
{
    start_upload(long_upload);
    run_for(5s);
    EXPECT_FALSE(result);
    lose_power();
    run_until_ended();
    EXPECT_EQ(result->failure, call_failure::no_answer);
}

// The same while parts of the upload are on their way.
TEST_F(stalled_upload, fails_when_the_server_dies_while_it_reads)
{
    start_upload(long_upload);
    lose_power();
    read_some();
    run_until_ended();
    EXPECT_EQ(result->failure, call_failure::no_answer);
}

// Guards against a limit that holds for the first pause only.
TEST_F(stalled_upload, goes_on_after_two_pauses)
{
    start_upload(long_upload);
    run_for(5s);
    for (int n = 0; n < 20; ++n)
    {
        run();
        read_some();
    }
    run_for(5s);
    read_upload();
    ASSERT_FALSE(result);
    write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull");
    run_until_ended();
    EXPECT_FALSE(result->failure);
    EXPECT_EQ(result->body, "full");
}

constexpr duration send_timeout = 3s;
constexpr send_state closed_window = {1'000, 0, 0};
constexpr send_state lost_probe = {1'000, 0, 1};
constexpr send_state lost_probes = {1'000, 0, 2};
constexpr send_state open_window = {1'000, 1, 0};
constexpr send_state no_acknowledgement = {1'000, 1, 0, send_timeout};
constexpr send_state all_sent = {0, 0, 0};

// Guards against a limit that ends a connection whose peer answers all probes.
TEST(window_watch, moves_the_limit_on_while_probes_are_answered)
{
    window_watch watch(send_timeout);
    time_point const start{};
    for (auto time = 0s; time < 60s; time += 1s)
        EXPECT_EQ(watch.limit(closed_window, start + time),
                  time + send_timeout);
    EXPECT_EQ(watch.limit(lost_probe, start + 60s), 60s + send_timeout);
}

// Guards against a dead peer that is waited for like a living one.
TEST(window_watch, leaves_the_limit_when_probes_are_lost)
{
    window_watch watch(send_timeout);
    time_point const start{};
    EXPECT_EQ(watch.limit(closed_window, start), send_timeout);
    EXPECT_EQ(watch.limit(lost_probes, start + 1s), std::nullopt);
    EXPECT_EQ(watch.limit(lost_probes, start + 2s), std::nullopt);
}

// Guards against a longer limit for the bytes of a later call.
TEST(window_watch, restores_the_limit_when_all_is_acknowledged)
{
    window_watch watch(send_timeout);
    time_point const start{};
    EXPECT_EQ(watch.limit(open_window, start), std::nullopt);
    watch.limit(closed_window, start);
    watch.limit(closed_window, start + 10s);
    EXPECT_EQ(watch.limit(all_sent, start + 11s), send_timeout);
    EXPECT_EQ(watch.limit(all_sent, start + 12s), std::nullopt);
    EXPECT_EQ(watch.limit(closed_window, start + 13s), send_timeout);
}

// Guards against a peer that dies after a pause and is given as much time
// again.
TEST(window_watch, restores_the_limit_when_nothing_is_acknowledged)
{
    window_watch watch(send_timeout);
    time_point const start{};
    watch.limit(closed_window, start);
    // The window has opened, but not far: the kernel counts the time on.
    EXPECT_EQ(watch.limit(open_window, start + 10s), 10s + send_timeout);
    EXPECT_EQ(watch.limit(no_acknowledgement, start + 13s), send_timeout);
}

} // namespace
} // namespace buckthornvale::net
