#include <buckthornvale/http/text.hpp>
#include <buckthornvale/net/http_server.hpp>
#include <buckthornvale/net/timer.hpp>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace buckthornvale::net
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t series_count = 150;
constexpr std::size_t max_body_bytes = 200'000;
constexpr std::size_t max_piece_bytes = 90'000;
constexpr duration hang_timeout = 20s;

//! A request as text, with the target and body that the handler must get.
struct sent_request
{
    std::string target;
    std::string body;
    std::string text;
};

//! Answers each request after a random time, and records it.
class slow_handler final : public request_handler
{
public:
    slow_handler(asio::io_context& loop, http_server*& server,
                 std::mt19937_64& random)
        : loop_(loop), server_(server), random_(random)
    {
    }

    void on_request(server_connection& from, http::request_head& head,
                    std::string& body) override
    {
        received.push_back({head.target, body, {}});
        auto const delay = std::chrono::milliseconds(random_() % 4);
        if (delay == 0ms)
        {
            answer(from);
            return;
        }
        timer_ = std::make_unique<timer>(loop_);
        timer_->start(delay,
                      [this, id = from.id()]
                      {
                          if (auto* to = server_->find(id))
                              answer(*to);
                      });
    }
    void on_caller_left(server_connection&) override {}
    void on_drained(server_connection&) override {}

    std::vector<sent_request> received;

private:
    static void answer(server_connection& to)
    {
        std::string head;
        http::append_status_line(head, http::status_ok);
        to.answer(std::move(head), "done");
    }

    asio::io_context& loop_;
    http_server*& server_;
    std::mt19937_64& random_;
    std::unique_ptr<timer> timer_;
};

//! Writes a text in random pieces with random pauses, and counts the answers.
class hasty_client final : public tcp_stream::handler
{
public:
    hasty_client(asio::io_context& loop, std::uint16_t port, std::string text,
                 std::mt19937_64& random)
        : timer_(loop), text_(std::move(text)), random_(random)
    {
        asio::ip::tcp::socket socket(loop);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        stream_ = std::make_shared<tcp_stream>(std::move(socket));
        stream_->attach(*this);
        stream_->start();
        write_next();
    }
    ~hasty_client() override
    {
        stream_->detach();
        stream_->close();
    }

    std::size_t answers() const
    {
        constexpr std::string_view end = "\r\n\r\ndone";
        std::size_t n = 0;
        for (auto at = received_.find(end); at != std::string::npos;
             at = received_.find(end, at + 1))
            ++n;
        return n;
    }
    bool ended = false;

    void on_bytes(std::string_view bytes) override { received_ += bytes; }
    void on_end(asio::error_code) override { ended = true; }
    void on_written() override {}

private:
    void write_next()
    {
        auto const n = std::min(text_.size(), 1 + random_() % max_piece_bytes);
        stream_->write(std::string_view(text_).substr(0, n));
        text_.erase(0, n);
        if (!text_.empty())
            timer_.start(std::chrono::milliseconds(random_() % 3),
                         [this] { write_next(); });
    }

    timer timer_;
    std::string text_;
    std::mt19937_64& random_;
    std::shared_ptr<tcp_stream> stream_;
    std::string received_;
};

//! A body that looks like requests, from no byte to the limit.
std::string make_body(std::mt19937_64& random)
{
    static std::string const hidden =
        "\r\n\r\nPUT /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    std::size_t const sizes[] = {0, random() % 100, random() % 20'000,
                                 random() % max_body_bytes};
    std::string out;
    auto const size = sizes[random() % std::size(sizes)];
    while (out.size() < size)
        out += hidden;
    out.resize(size);
    return out;
}

sent_request make_request(std::size_t n, std::mt19937_64& random)
{
    sent_request out;
    out.target = "/" + std::to_string(n);
    out.body = make_body(random);
    out.text = "PUT " + out.target + " HTTP/1.1\r\nHost: h\r\n";
    if (random() % 5 == 0)
        out.text += "Expect: 100-continue\r\n";
    if (random() % 2 == 0)
    {
        out.text += "Content-Length: " + std::to_string(out.body.size()) +
                    "\r\n\r\n" + out.body;
        return out;
    }
    out.text += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < out.body.size();)
    {
        auto const size = 1 + random() % 30'000;
        http::append_chunk(out.text, out.body.substr(at, size));
        at += size;
    }
    out.text += http::last_chunk;
    return out;
}

class request_order : public testing::Test
{
protected:
    void expect_series_in_order(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<sent_request> sent;
        std::string text;
        auto const count = 2 + random() % 5;
        for (std::size_t n = 0; n < count; ++n)
        {
            sent.push_back(make_request(n, random));
            text += sent.back().text;
        }
        asio::io_context loop;
        http_server* running = nullptr;
        slow_handler handler(loop, running, random);
        http_server server(
            loop, handler, [] { return server_limits(); }, steady_now);
        running = &server;
        server.listen("127.0.0.1", 0);
        hasty_client client(loop, server.port(), text, random);
        auto const end = steady_now() + hang_timeout;
        while (client.answers() < count && !client.ended && steady_now() < end)
            loop.run_one_for(10ms);
        EXPECT_EQ(client.answers(), count);
        ASSERT_EQ(handler.received.size(), count);
        for (std::size_t n = 0; n < count; ++n)
        {
            EXPECT_EQ(handler.received[n].target, sent[n].target);
            EXPECT_TRUE(handler.received[n].body == sent[n].body) << n;
        }
    }
};

// Bytes that a client sent ahead were held, and later ones parsed before them:
// a request that was hidden in a body was run, or a proper one was denied.
TEST_F(request_order, is_kept_whatever_a_client_sends_ahead)
{
    for (std::uint64_t seed = 1; seed <= series_count; ++seed)
    {
        SCOPED_TRACE(seed);
        expect_series_in_order(seed);
        if (HasFailure())
            return;
    }
}

} // namespace
} // namespace buckthornvale::net
