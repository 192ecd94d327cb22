#ifndef BUCKTHORNVALE_STANDINS_COMMON_CONNECTION_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_CONNECTION_HPP

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace buckthornvale::standins
{

//! Limits on what one caller may send and on how long it may take.
struct connection_limits
{
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    //! Longest wait for the next request on an open connection.
    std::chrono::milliseconds idle{5000};
    //! Longest time from the first byte of a request to its last.
    std::chrono::milliseconds receive{10000};
    //! Longest total wait for the caller to read one answer.
    std::chrono::milliseconds send{10000};
};

//! Why a request could not be read to its end.
enum class receive_fault
{
    none,
    closed, //!< end of stream or socket error
    head_too_large,
    body_too_large,
    too_slow
};

//! Buffered stream of cpp-httplib over a caller's socket. Unlike the stream of
//! the library it enforces connection_limits and gives access to the socket
//! while a handler runs. Used by one thread.
class connection : public httplib::Stream
{
public:
    //! The socket stays owned by the caller of the constructor.
    connection(socket_t socket, connection_limits const& limits);

    //! Waits for the first byte of a request; false when the caller closed the
    //! connection, was idle for too long, or `stop_descriptor` is readable.
    bool wait_for_request(int stop_descriptor);

    //! Resets the limits that count per request.
    void begin_request();
    //! Called between head and body of a request.
    void head_received();

    receive_fault fault() const { return fault_; }

    //! Makes reads and writes fail from now on and ends the connection
    //! without an answer.
    void abandon();
    bool abandoned() const { return abandoned_; }

    //! Discards, for a bounded time, what the caller is still sending. Closing
    //! a socket with unread data resets it, and a reset may destroy the answer
    //! before the caller reads it.
    void linger();

    bool is_readable() const override;
    bool is_writable() const override;
    using httplib::Stream::write;
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(char const* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_; }

private:
    bool refill();
    bool charge(std::size_t size);

    socket_t socket_;
    connection_limits limits_;
    std::array<char, 4096> buffer_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    std::size_t head_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    bool in_head_ = true;
    bool abandoned_ = false;
    receive_fault fault_ = receive_fault::none;
    std::chrono::steady_clock::time_point receive_deadline_;
    mutable std::chrono::steady_clock::duration send_left_{};
};

} // namespace buckthornvale::standins

#endif
