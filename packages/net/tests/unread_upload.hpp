#ifndef BUCKTHORNVALE_NET_TESTS_UNREAD_UPLOAD_HPP
#define BUCKTHORNVALE_NET_TESTS_UNREAD_UPLOAD_HPP

#include <buckthornvale/net/endpoint.hpp>
#include <buckthornvale/net/http_client.hpp>
#include <buckthornvale/net/short_call.hpp>

#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace buckthornvale::net
{

//! Limits how long a failing test can hang.
constexpr std::chrono::seconds hang_timeout{60};

//! Larger than the buffers of both kernels, so that part of it waits in the
//! client.
constexpr std::size_t long_upload = 16'000'000;

//! A client whose server reads of an upload only what a test makes it read.
class unread_upload : public testing::Test
{
protected:
    unread_upload()
    {
        acceptor.open(asio::ip::tcp::v4());
        acceptor.set_option(asio::socket_base::receive_buffer_size(16'384));
        acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen();
    }

    //! Starts a call and returns when no more of the upload can be sent.
    void start_upload(std::size_t size)
    {
        result.reset();
        short_request request;
        request.head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                       std::to_string(size) + "\r\n\r\n";
        request.body = std::string(size, 'x');
        unread = request.head.size() + size;
        make_call(client,
                  endpoint_text("127.0.0.1", acceptor.local_endpoint().port()),
                  std::move(request), {},
                  [this](call_result const& it) { result = it; });
        server = asio::ip::tcp::socket(server_loop);
        run();
        acceptor.accept(server);
        run();
    }

    void write(std::string const& bytes)
    {
        asio::write(server, asio::buffer(bytes));
    }

    void reset()
    {
        server.set_option(asio::socket_base::linger(true, 0));
        server.close();
    }

    void end_sending()
    {
        server.shutdown(asio::ip::tcp::socket::shutdown_send);
    }

    void read_upload()
    {
        std::string buf(1'000'000, ' ');
        auto const end = std::chrono::steady_clock::now() + hang_timeout;
        while (unread > 0)
        {
            ASSERT_LT(std::chrono::steady_clock::now(), end);
            loop.restart();
            loop.poll();
            if (server.available() > 0)
                unread -= server.read_some(asio::buffer(buf));
        }
    }

    //! Lets the client read what has arrived.
    void run()
    {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(20));
    }

    void run_until_ended()
    {
        auto const end = std::chrono::steady_clock::now() + hang_timeout;
        while (!result && std::chrono::steady_clock::now() < end)
            run();
        ASSERT_TRUE(result);
    }

    asio::io_context loop;
    asio::io_context server_loop;
    asio::ip::tcp::acceptor acceptor{server_loop};
    asio::ip::tcp::socket server{server_loop};
    http_client client{loop, steady_now};
    std::size_t unread = 0; //!< bytes of the request
    std::optional<call_result> result;
};

} // namespace buckthornvale::net

#endif
