#include "support/front_fixture.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace buckthornvale::serving::tests
{

raw_caller::raw_caller(std::uint16_t port)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)),
              0);
}

raw_caller::~raw_caller()
{
    hang_up();
}

void raw_caller::send(std::string const& text) const
{
    ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string raw_caller::read_all() const
{
    return read_until("no answer has this text");
}

std::string raw_caller::read_until(std::string const& text) const
{
    std::string seen;
    char buf[4096];
    while (seen.find(text) == std::string::npos)
    {
        auto const n = ::recv(socket_, buf, sizeof(buf), 0);
        if (n <= 0)
            break;
        seen.append(buf, static_cast<std::size_t>(n));
    }
    return seen;
}

void raw_caller::hang_up()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

http::front_settings front_test::default_settings()
{
    http::front_settings settings;
    settings.incarnation = 7;
    settings.max_waiting = 6;
    return settings;
}

void front_test::start_front(http::front_settings settings)
{
    http::front_callbacks callbacks;
    callbacks.ready = [this] { return ready; };
    callbacks.metrics = [] { return std::string("up 1\n"); };
    callbacks.status = [] { return std::string(R"({"vm":"a"})"); };
    callbacks.drain = [this] { drains.add(1); };
    callbacks.wall_now = [] { return decision::wall_time{}; };
    front = std::make_unique<http::http_front>(settings, callbacks, sink);
    ASSERT_TRUE(front->start());
}

std::string front_test::post_text(std::string const& body) const
{
    return "POST /v1/pipelines/quote/requests HTTP/1.1\r\nHost: a\r\n"
           "Authorization: Bearer key\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::future<httplib::Result> front_test::post(std::string body,
                                              httplib::Headers headers)
{
    auto const port = front->port();
    return std::async(
        std::launch::async,
        [port, body = std::move(body), headers = std::move(headers)]
        {
            httplib::Client client("127.0.0.1", port);
            client.set_read_timeout(hang_limit);
            return client.Post("/v1/pipelines/quote/requests", headers, body,
                               "application/json");
        });
}

httplib::Result front_test::get(std::string const& path,
                                httplib::Headers const& headers)
{
    httplib::Client client("127.0.0.1", front->port());
    client.set_read_timeout(hang_limit);
    return client.Get(path, headers);
}

} // namespace buckthornvale::serving::tests
