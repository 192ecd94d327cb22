#ifndef BUCKTHORNVALE_TESTS_CLIENTS_CROWD_CLIENT_HPP
#define BUCKTHORNVALE_TESTS_CLIENTS_CROWD_CLIENT_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace buckthornvale::clients
{

//! What a client of a crowd sends, and how.
struct crowd_plan
{
    //! Sent once; the connection stays open afterwards.
    std::shared_ptr<std::string const> text = std::make_shared<std::string>();
    std::size_t piece_bytes = 65'536;         //!< in one write
    std::chrono::milliseconds write_pause{0}; //!< between two writes
    std::chrono::milliseconds read_pause{0};  //!< between two reads
    std::size_t read_bytes = 0;               //!< in one read; 0: never reads
};

//! One connection of a crowd. It ends with the object or when the server closes
//! it.
class crowd_client
{
public:
    crowd_client(asio::io_context& loop, std::uint16_t port, crowd_plan plan);

    //! Bytes that were sent and received.
    std::size_t transferred() const { return sent_ + received_; }

    //! All was sent, or the server has closed the connection.
    bool done() const { return ended_ || sent_ == plan_.text->size(); }

private:
    void write();
    void read();

    crowd_plan const plan_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer write_timer_;
    asio::steady_timer read_timer_;
    std::array<char, 4096> read_buffer_{};
    std::size_t sent_ = 0;
    std::size_t received_ = 0;
    bool ended_ = false;
};

} // namespace buckthornvale::clients

#endif
