#include "common/connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace buckthornvale::standins
{

namespace
{

using steady = std::chrono::steady_clock;

//! Room for the framing of a chunked body, as a divisor of the body limit.
constexpr std::size_t chunk_framing_divisor = 8;

constexpr std::chrono::milliseconds linger_time{1000};
constexpr std::size_t linger_bytes = std::size_t{4} * 1024 * 1024;

int poll_milliseconds(steady::duration left)
{
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::clamp<long long>(ms + 1, 0, 60000));
}

//! Polls one descriptor until `deadline`; gives the events, 0 at the deadline.
short poll_until(int descriptor, short events, steady::time_point deadline)
{
    for (;;)
    {
        auto const left = deadline - steady::now();
        if (left <= steady::duration::zero())
            return 0;
        pollfd entry{descriptor, events, 0};
        auto const n = ::poll(&entry, 1, poll_milliseconds(left));
        if (n > 0)
            return entry.revents;
        if (n < 0 && errno != EINTR)
            return POLLERR;
    }
}

void read_address(sockaddr_storage const& address, std::string& ip, int& port)
{
    char text[INET6_ADDRSTRLEN] = {};
    if (address.ss_family == AF_INET)
    {
        auto const& v4 = reinterpret_cast<sockaddr_in const&>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text, sizeof(text));
        port = ntohs(v4.sin_port);
    }
    else if (address.ss_family == AF_INET6)
    {
        auto const& v6 = reinterpret_cast<sockaddr_in6 const&>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof(text));
        port = ntohs(v6.sin6_port);
    }
    ip = text;
}

} // namespace

connection::connection(socket_t socket, connection_limits const& limits)
    : socket_(socket), limits_(limits)
{
    begin_request();
}

bool connection::wait_for_request(int stop_descriptor)
{
    if (begin_ < end_)
        return true;
    auto const deadline = steady::now() + limits_.idle;
    for (;;)
    {
        auto const left = deadline - steady::now();
        if (left <= steady::duration::zero())
            return false;
        pollfd entries[] = {{socket_, POLLIN, 0}, {stop_descriptor, POLLIN, 0}};
        auto const n = ::poll(entries, 2, poll_milliseconds(left));
        if (n < 0 && errno != EINTR)
            return false;
        // A request that already arrived is served even while stopping.
        if (n > 0 && entries[0].revents != 0)
            return true;
        if (n > 0 && entries[1].revents != 0)
            return false;
    }
}

void connection::begin_request()
{
    head_bytes_ = 0;
    body_bytes_ = 0;
    in_head_ = true;
    fault_ = receive_fault::none;
    receive_deadline_ = steady::now() + limits_.receive;
    send_left_ = limits_.send;
}

void connection::head_received()
{
    in_head_ = false;
}

void connection::abandon()
{
    abandoned_ = true;
}

void connection::linger()
{
    ::shutdown(socket_, SHUT_WR);
    auto const deadline = steady::now() + linger_time;
    std::size_t total = 0;
    while (total < linger_bytes && poll_until(socket_, POLLIN, deadline) != 0)
    {
        auto const n = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
        if (n <= 0)
            return;
        total += static_cast<std::size_t>(n);
    }
}

bool connection::is_readable() const
{
    return begin_ < end_ || poll_until(socket_, POLLIN, receive_deadline_) != 0;
}

bool connection::is_writable() const
{
    if (abandoned_)
        return false;
    auto const start = steady::now();
    auto const events = poll_until(socket_, POLLOUT, start + send_left_);
    send_left_ -= steady::now() - start;
    return (events & POLLOUT) != 0 && (events & (POLLERR | POLLHUP)) == 0;
}

bool connection::charge(std::size_t size)
{
    auto& used = in_head_ ? head_bytes_ : body_bytes_;
    auto const framing = limits_.max_body_bytes / chunk_framing_divisor;
    auto const limit =
        in_head_ ? limits_.max_head_bytes : limits_.max_body_bytes + framing;
    used += size;
    if (used <= limit)
        return true;
    fault_ = in_head_ ? receive_fault::head_too_large
                      : receive_fault::body_too_large;
    return false;
}

bool connection::refill()
{
    auto const events = poll_until(socket_, POLLIN, receive_deadline_);
    if (events == 0)
    {
        fault_ = receive_fault::too_slow;
        return false;
    }
    auto const n = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (n <= 0)
    {
        fault_ = receive_fault::closed;
        return false;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(n);
    return true;
}

ssize_t connection::read(char* ptr, size_t size)
{
    if (abandoned_ || fault_ != receive_fault::none)
        return -1;
    if (begin_ == end_ && !refill())
        return fault_ == receive_fault::closed ? 0 : -1;
    auto const n = std::min(size, end_ - begin_);
    if (!charge(n))
        return -1;
    std::memcpy(ptr, buffer_.data() + begin_, n);
    begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t connection::write(char const* ptr, size_t size)
{
    if (!is_writable())
        return -1;
    return ::send(socket_, ptr, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void connection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        read_address(address, ip, port);
}

void connection::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        read_address(address, ip, port);
}

} // namespace buckthornvale::standins
