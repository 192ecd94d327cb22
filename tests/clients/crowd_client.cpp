#include "crowd_client.hpp"

#include <algorithm>

namespace buckthornvale::clients
{

namespace
{

//! A client that does not read must not have its answers taken by its kernel.
constexpr int receive_buffer_bytes = 4096;

} // namespace

crowd_client::crowd_client(asio::io_context& loop, std::uint16_t port,
                           crowd_plan plan)
    : plan_(std::move(plan)), socket_(loop, asio::ip::tcp::v4()),
      write_timer_(loop), read_timer_(loop)
{
    socket_.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    asio::error_code ec;
    socket_.connect({asio::ip::make_address("127.0.0.1"), port}, ec);
    ended_ = bool(ec);
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    write();
    if (plan_.read_bytes > 0)
        read();
}

void crowd_client::write()
{
    if (done())
        return;
    auto const n = std::min(plan_.piece_bytes, plan_.text->size() - sent_);
    socket_.async_write_some(asio::buffer(plan_.text->data() + sent_, n),
                             [this](asio::error_code ec, std::size_t written)
                             {
                                 if (ec == asio::error::operation_aborted)
                                     return;
                                 sent_ += written;
                                 ended_ = ended_ || ec;
                                 if (plan_.write_pause ==
                                     std::chrono::milliseconds::zero())
                                 {
                                     write();
                                     return;
                                 }
                                 write_timer_.expires_after(plan_.write_pause);
                                 write_timer_.async_wait(
                                     [this](asio::error_code cancelled)
                                     {
                                         if (!cancelled)
                                             write();
                                     });
                             });
}

void crowd_client::read()
{
    auto const n = std::min(plan_.read_bytes, read_buffer_.size());
    socket_.async_read_some(asio::buffer(read_buffer_.data(), n),
                            [this](asio::error_code ec, std::size_t received)
                            {
                                if (ec == asio::error::operation_aborted)
                                    return;
                                received_ += received;
                                ended_ = ended_ || ec;
                                if (ended_)
                                    return;
                                read_timer_.expires_after(plan_.read_pause);
                                read_timer_.async_wait(
                                    [this](asio::error_code cancelled)
                                    {
                                        if (!cancelled)
                                            read();
                                    });
                            });
}

} // namespace buckthornvale::clients
