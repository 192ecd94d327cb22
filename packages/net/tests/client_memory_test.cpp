#include "fake_handler.hpp"
#include <buckthornvale/net/endpoint.hpp>

#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace buckthornvale::net
{
namespace
{

using namespace std::chrono_literals;

//! A server whose clients may hold 260 KB together, with a settable clock.
class client_memory : public testing::Test
{
protected:
    client_memory() { server.listen("127.0.0.1", 0); }

    //! Connects a client that sends these bytes, and lets the server read them.
    asio::ip::tcp::socket send(std::string const& bytes)
    {
        return send_to(server, bytes);
    }

    asio::ip::tcp::socket send_to(http_server const& to,
                                  std::string const& bytes)
    {
        asio::ip::tcp::socket out(loop);
        out.connect(*parse_endpoint(endpoint_text("127.0.0.1", to.port())));
        asio::error_code ec;
        asio::write(out, asio::buffer(bytes), ec);
        out.non_blocking(true);
        run();
        return out;
    }

    void run()
    {
        loop.restart();
        loop.run_for(50ms);
    }

    static std::string received(asio::ip::tcp::socket& client)
    {
        std::string out(1024, ' ');
        asio::error_code ec;
        out.resize(client.read_some(asio::buffer(out), ec));
        return out;
    }

    //! Reads to the end of the connection.
    std::string received_to_end(asio::ip::tcp::socket& client,
                                asio::error_code& ec)
    {
        std::string out;
        client.non_blocking(true);
        for (int n = 0; n < 1000; ++n)
        {
            std::string buf(65'536, ' ');
            out.append(buf, 0, client.read_some(asio::buffer(buf), ec));
            if (ec && ec != asio::error::would_block)
                break;
            loop.restart();
            loop.run_for(1ms);
        }
        return out;
    }

    static std::string head(std::size_t length)
    {
        return "POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(length) + "\r\n\r\n";
    }

    asio::io_context loop;
    fake_handler handler;
    server_limits limits;
    time_point now{};
    std::shared_ptr<memory_budget> budget =
        std::make_shared<memory_budget>(260'000);
    http_server server{loop, handler, [this] { return limits; },
                       [this] { return now; }, budget};
};

// Guards against reading a body that does not fit, and against a refusal that
// does not say when to return or whose request was run.
TEST_F(client_memory, refuses_a_stated_body_that_does_not_fit)
{
    auto client = send(head(300'000));
    auto const response = received(client);
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(response.find("Retry-After: 1\r\n"), std::string::npos);
    EXPECT_EQ(handler.requests, 0);
}

// Guards against a body that cannot fit and ends the requests of others before
// it is refused.
TEST_F(client_memory, ends_no_other_request_for_a_body_that_cannot_fit)
{
    auto other = send(head(20'000) + std::string(19'999, 'b'));
    auto client = send(head(300'000));
    EXPECT_EQ(received(client).substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(received(other), "");
    asio::write(other, asio::buffer("b", 1));
    run();
    EXPECT_EQ(received(other).substr(0, 12), "HTTP/1.1 200");
}

// Guards against a refused body whose memory is kept until its connection ends.
TEST_F(client_memory, frees_the_memory_of_a_refused_body)
{
    auto client = send(head(300'000) + std::string(50'000, 'b'));
    EXPECT_LT(budget->held(), 20'000U);
}

// Guards against stopped bodies that keep another request from being served.
TEST_F(client_memory, ends_a_stopped_body_for_another_request)
{
    auto stopped = send(head(70'000) + std::string(69'999, 'b'));
    EXPECT_GT(budget->held(), 69'999U);
    now += 3s;
    auto other = send(head(70'000) + std::string(70'000, 'b'));
    EXPECT_EQ(received(other).substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(received(stopped).substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(handler.requests, 1);
}

// Guards against a body that is refused for a copy that its handler does not
// make.
TEST_F(client_memory, asks_for_the_copies_that_are_made)
{
    limits.body_copies = 0;
    auto client = send(head(100'000) + std::string(100'000, 'b'));
    EXPECT_EQ(received(client).substr(0, 12), "HTTP/1.1 200");
    limits.body_copies = 1;
    auto other = send(head(100'000));
    EXPECT_EQ(received(other).substr(0, 12), "HTTP/1.1 503");
}

// Guards against running requests with large bodies that take all the room, so
// that every small request is refused until they end.
TEST_F(client_memory, keeps_a_reserve_for_small_requests)
{
    memory_budget::charge running(budget);
    running.resize(150'000);
    auto large = send(head(30'000) + std::string(30'000, 'b'));
    EXPECT_EQ(received(large).substr(0, 12), "HTTP/1.1 503");
    running.resize(190'000);
    auto small = send(head(1'000) + std::string(1'000, 'b'));
    EXPECT_EQ(received(small).substr(0, 12), "HTTP/1.1 200");
}

// Guards against a refusal that is reset after a second because its body still
// arrives, and against one that keeps a connection for as long as bytes come.
TEST_F(client_memory, reads_on_after_a_refusal_while_the_body_arrives)
{
    limits.receive_timeout = 3s;
    auto client = send(head(300'000));
    for (int n = 0; n < 4; ++n)
    {
        now += 700ms;
        asio::write(client, asio::buffer("body"));
        run();
        server.check_limits(now);
        ASSERT_EQ(server.connections(), 1U);
    }
    now += 300ms;
    server.check_limits(now);
    EXPECT_EQ(server.connections(), 0U);
}

// Guards against a refusal that keeps its connection though no more arrives.
TEST_F(client_memory, closes_a_refused_connection_that_sends_nothing_more)
{
    auto client = send(head(300'000));
    now += 700ms;
    asio::write(client, asio::buffer("body"));
    run();
    now += 1100ms;
    server.check_limits(now);
    EXPECT_EQ(server.connections(), 0U);
}

// Guards against a whole request that is refused because it is larger than the
// stopped ones that it needs room from.
TEST_F(client_memory, ends_a_stopped_body_before_a_larger_whole_request)
{
    memory_budget::charge running(budget);
    running.resize(80'000);
    auto stopped = send(head(20'000) + std::string(19'999, 'b'));
    auto whole = send("POST /3 HTTP/1.1\r\nHost: a\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n7530\r\n" +
                      std::string(30'000, 'b') + "\r\n0\r\n\r\n");
    EXPECT_EQ(received(whole).substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(received(stopped).substr(0, 12), "HTTP/1.1 503");
}

// Guards against responses that pile up for a client that sends ahead without
// reading them.
TEST_F(client_memory, serves_no_further_request_while_responses_wait)
{
    std::string requests;
    for (int n = 0; n < 100; ++n)
        requests += "GET /100000 HTTP/1.1\r\nHost: a\r\n\r\n";
    http_server unbounded(
        loop, handler, [this] { return limits; }, [this] { return now; });
    unbounded.listen("127.0.0.1", 0);
    asio::ip::tcp::socket client(loop, asio::ip::tcp::v4());
    client.set_option(asio::socket_base::receive_buffer_size(4096));
    client.connect(
        *parse_endpoint(endpoint_text("127.0.0.1", unbounded.port())));
    asio::write(client, asio::buffer(requests));
    run();
    EXPECT_GT(handler.requests, 0);
    EXPECT_LT(handler.requests, 100);
}

// Guards against requests sent ahead that get no response when their connection
// is ended: their client could not tell that they were not run.
TEST_F(client_memory, refuses_a_request_sent_ahead_of_unread_responses)
{
    std::string requests;
    for (int n = 0; n < 100; ++n)
        requests += "GET /100000 HTTP/1.1\r\nHost: a\r\n\r\n";
    http_server unbounded(
        loop, handler, [this] { return limits; }, [this] { return now; });
    unbounded.listen("127.0.0.1", 0);
    asio::ip::tcp::socket client(loop, asio::ip::tcp::v4());
    client.set_option(asio::socket_base::receive_buffer_size(4096));
    client.connect(
        *parse_endpoint(endpoint_text("127.0.0.1", unbounded.port())));
    asio::write(client, asio::buffer(requests));
    run();
    ASSERT_LT(handler.requests, 100);
    unbounded.find(1)->end_for_others();
    asio::error_code ec;
    auto const responses = received_to_end(client, ec);
    EXPECT_EQ(ec, asio::error::eof);
    EXPECT_NE(responses.find("HTTP/1.1 503"), std::string::npos);
}

// Guards against bytes that a paused socket still holds when its connection is
// closed: they reset it, and its response may be lost.
TEST_F(client_memory, reads_what_was_sent_ahead_before_it_closes)
{
    auto client =
        send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n" + std::string(60'000, 'b'));
    server.find(1)->abort();
    run();
    now += 2s;
    server.check_limits(now);
    EXPECT_EQ(handler.discarded_bytes, 60'000U);
    asio::error_code ec;
    auto const response = received_to_end(client, ec);
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(ec, asio::error::eof);
}

// Guards against a connection of an ordinary client that finds no place while
// silent ones hold all.
TEST_F(client_memory, replaces_the_longest_idle_connection)
{
    limits.max_connections = 2;
    limits.replace_connections = true;
    auto first = send({});
    now += 1s;
    auto second = send({});
    now += 1s;
    auto third = send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(received(third).substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(server.connections(), 2U);
    asio::error_code ec;
    char buf = 0;
    first.read_some(asio::buffer(&buf, 1), ec);
    EXPECT_EQ(ec, asio::error::eof);
    second.read_some(asio::buffer(&buf, 1), ec);
    EXPECT_EQ(ec, asio::error::would_block);
}

// Guards against a running request that is ended for a new connection because
// its client has sent a few bytes ahead.
TEST_F(client_memory, spares_a_running_request_with_some_bytes_ahead)
{
    limits.max_connections = 1;
    limits.replace_connections = true;
    auto running = send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n\r\n");
    EXPECT_EQ(received(running).substr(0, 12), "HTTP/1.1 200");
    now += 3s;
    auto other = send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(received(other).substr(0, 12), "HTTP/1.1 503");
    asio::error_code ec;
    char buf = 0;
    running.read_some(asio::buffer(&buf, 1), ec);
    EXPECT_EQ(ec, asio::error::would_block);
}

// Guards against a running request that is ended as soon as a part of its
// response waits in the server, and against one that is never ended.
TEST_F(client_memory, ends_a_running_request_only_if_its_client_has_stopped)
{
    handler.unfinished_bytes = 20'000'000;
    http_server one(
        loop, handler, [this] { return limits; }, [this] { return now; });
    one.listen("127.0.0.1", 0);
    limits.max_connections = 1;
    limits.replace_connections = true;
    auto const request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    auto running = send_to(one, request);
    now += 500ms;
    auto early = send_to(one, request);
    EXPECT_EQ(received(early).substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(one.serving(), 1U);
    now += 2s;
    early.close();
    run();
    auto late = send_to(one, request);
    EXPECT_EQ(received(late).substr(0, 12), "HTTP/1.1 200");
}

} // namespace
} // namespace buckthornvale::net
