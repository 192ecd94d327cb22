#include "support/runner_fixture.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace buckthornvale::serving::tests
{
namespace
{

using requests::attempt_outcome;

//! A runner below the level of HTTP.
class raw_runner
{
public:
    explicit raw_runner(int backlog)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(socket_, generic, size), 0);
        EXPECT_EQ(::getsockname(socket_, generic, &size), 0);
        EXPECT_EQ(::listen(socket_, backlog), 0);
        address_ = address;
    }
    ~raw_runner() { ::close(socket_); }

    std::uint16_t port() const { return ntohs(address_.sin_port); }

    //! Takes one connection, waits until bytes have arrived, and reads at most
    //! `bytes` of them.
    int accept_and_read(std::size_t bytes) const
    {
        auto const peer = ::accept(socket_, nullptr, nullptr);
        // A reset before any byte was sent can also end the connect, which
        // then proves that nothing was written.
        pollfd arrived{peer, POLLIN, 0};
        EXPECT_EQ(::poll(&arrived, 1, -1), 1);
        std::string buf(bytes, '\0');
        if (bytes > 0)
        {
            EXPECT_GT(::recv(peer, buf.data(), bytes, 0), 0);
        }
        return peer;
    }

    //! Makes a connection that nobody accepts.
    int connect() const
    {
        auto const peer = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        ::connect(peer, reinterpret_cast<sockaddr const*>(&address_),
                  sizeof(address_));
        return peer;
    }

private:
    int socket_;
    sockaddr_in address_{};
};

void reset(int peer)
{
    linger const at_once{1, 0};
    ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    ::close(peer);
}

requests::attempt_ended call(raw_runner const& runner, std::size_t input_bytes)
{
    fake_listener listener;
    upstream::upstream_settings settings;
    settings.call.connect = std::chrono::milliseconds(300);
    upstream::upstream_pool pool(settings, listener);
    auto attempt = attempt_of(1, decision::runner_kind::engine);
    attempt.port = runner.port();
    attempt.input = std::make_shared<std::string const>(
        '"' + std::string(input_bytes, 'x') + '"');
    pool.start(attempt);
    return listener.ends.at(0);
}

//! What a runner does with a connection before it answers.
struct proof_row
{
    std::string name;
    std::size_t input_bytes;
    std::size_t read_bytes; //!< taken by the runner before it acts
    bool resets;            //!< reset, else an orderly close
    std::string answered;   //!< bytes sent back before that
};

class lost_connection : public testing::TestWithParam<proof_row>
{
};

// Guards against I3: whatever happens after a byte was written, the runner
// may hold the request.
TEST_P(lost_connection, is_never_told_as_not_started)
{
    raw_runner const runner(16);
    auto const& row = GetParam();
    std::thread serving(
        [&]
        {
            auto const peer = runner.accept_and_read(row.read_bytes);
            ::send(peer, row.answered.data(), row.answered.size(),
                   MSG_NOSIGNAL);
            row.resets ? reset(peer) : static_cast<void>(::close(peer));
        });
    auto const ended = call(runner, row.input_bytes);
    serving.join();
    EXPECT_EQ(ended.result, attempt_outcome::connection_lost) << ended.detail;
}

constexpr std::size_t many_bytes = 16 * 1024 * 1024;

INSTANTIATE_TEST_SUITE_P(
    rows, lost_connection,
    testing::Values(
        proof_row{"reset_before_reading", 10, 0, true, ""},
        proof_row{"closed_before_reading", 10, 0, false, ""},
        proof_row{"reset_after_first_byte", 10, 1, true, ""},
        proof_row{"reset_while_writing", many_bytes, 100, true, ""},
        proof_row{"closed_while_writing", many_bytes, 100, false, ""},
        proof_row{"half_a_status_line", 10, 1, false, "HTTP/1.1 50"},
        proof_row{"half_a_refusal", 10, 1, false,
                  "HTTP/1.1 503 Busy\r\nContent-Length: 17\r\n\r\n"
                  "{\"started\":fal"},
        proof_row{"half_an_answer", 10, 1, false,
                  "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"},
        proof_row{"no_http", 10, 1, false, "SSH-2.0\r\n\r\n"}),
    [](auto const& it) { return it.param.name; });

// Guards against a time-out while connecting that is told as a lost request:
// nothing was written yet, so the request may go to another runner.
TEST(unmade_connection, is_told_as_not_started)
{
    raw_runner const runner(0);
    std::vector<int> fillers;
    for (auto i = 0; i < 8; ++i)
        fillers.push_back(runner.connect());
    auto const ended = call(runner, 10);
    for (auto const it : fillers)
        ::close(it);
    EXPECT_EQ(ended.result, attempt_outcome::not_started) << ended.detail;
    EXPECT_FALSE(ended.runner_crashed);
}

// Guards against a flood of calls above the bound, and against a call that is
// neither run nor ended.
TEST(full_pool, ends_further_calls_as_not_started)
{
    raw_runner const runner(16);
    fake_listener listener;
    upstream::upstream_settings settings;
    settings.max_calls = 1;
    settings.max_queued_calls = 1;
    int peer = -1;
    {
        upstream::upstream_pool pool(settings, listener);
        for (auto const counter : {1U, 2U, 3U})
        {
            auto attempt = attempt_of(counter, decision::runner_kind::engine);
            attempt.port = runner.port();
            pool.start(attempt);
            // The first call holds the one place from here on.
            if (counter == 1)
                peer = runner.accept_and_read(1);
        }
        auto const refused = listener.ends.at(0);
        EXPECT_EQ(refused.call.counter, 3U);
        EXPECT_EQ(refused.result, attempt_outcome::not_started);
    }
    ::close(peer);
    EXPECT_EQ(listener.ends.size(), 3U);
}

} // namespace
} // namespace buckthornvale::serving::tests
