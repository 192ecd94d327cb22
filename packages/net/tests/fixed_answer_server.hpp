#ifndef BUCKTHORNVALE_NET_TESTS_FIXED_ANSWER_SERVER_HPP
#define BUCKTHORNVALE_NET_TESTS_FIXED_ANSWER_SERVER_HPP

#include <buckthornvale/net/endpoint.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <string>
#include <utility>

namespace buckthornvale::net
{

//! A server that answers one request with fixed bytes and closes the
//! connection.
class fixed_answer_server
{
public:
    fixed_answer_server(asio::io_context& loop, std::string bytes)
        : bytes_(std::move(bytes)),
          acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}),
          socket_(loop)
    {
        acceptor_.async_accept(socket_,
                               [this](asio::error_code ec)
                               {
                                   if (!ec)
                                       answer();
                               });
    }

    std::string address() const
    {
        return endpoint_text("127.0.0.1", acceptor_.local_endpoint().port());
    }

private:
    void answer()
    {
        socket_.async_read_some(asio::buffer(request_),
                                [this](asio::error_code ec, std::size_t)
                                {
                                    asio::write(socket_, asio::buffer(bytes_),
                                                ec);
                                    socket_.close(ec);
                                });
    }

    std::string const bytes_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    std::array<char, 1024> request_{};
};

} // namespace buckthornvale::net

#endif
