#include "window_watch.hpp"
#include <buckthornvale/net/tcp_stream.hpp>
#include <buckthornvale/net/timer.hpp>

#include <asio/buffer.hpp>

#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace buckthornvale::net
{

namespace
{

//! TCP keep-alive detects an unresponsive peer after
//! idle + interval * probes seconds.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

//! An empty queue keeps its memory up to this size, for the next message.
constexpr std::size_t max_kept_capacity = 16'384;

//! The receive window is checked several times within a send timeout.
constexpr int window_checks = 4;

//! Shorter writes fit into the receive buffer of any peer.
constexpr std::size_t unwatched_bytes = 16'384;

//! Ignores errors: without the option, failures are detected later, but the
//! connection still works.
void set_socket_option(int fd, int level, int name, int value)
{
    static_cast<void>(::setsockopt(fd, level, name, &value, sizeof(value)));
}

bool has_pending_error(int fd)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
           error != 0;
}

//! Bytes that the kernel took and the peer has not acknowledged. After a reset
//! they are still counted.
int unacknowledged_bytes(int fd)
{
    int out = 0;
    return ::ioctl(fd, SIOCOUTQ, &out) == 0 ? out : 0;
}

void set_send_timeout(int fd, duration timeout)
{
    set_socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      int(timeout / std::chrono::milliseconds(1)));
}

//! Nothing is unacknowledged when the kernel does not tell.
send_state read_send_state(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    return {unacknowledged_bytes(fd), info.tcpi_unacked, info.tcpi_probes,
            std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

} // namespace

//! Checks the receive window of the peer while bytes are unacknowledged.
struct tcp_stream::window_checker
{
    window_checker(asio::any_io_executor const& executor, duration timeout)
        : interval(timeout / window_checks), watch(timeout),
          check_timer(executor)
    {
    }

    duration const interval;
    window_watch watch;
    timer check_timer;
    bool is_running = false;
};

tcp_stream::tcp_stream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
}

tcp_stream::~tcp_stream() = default;

void tcp_stream::connect(asio::ip::tcp::endpoint const& to,
                         std::function<void(asio::error_code)> done)
{
    asio::error_code ec;
    socket_.open(to.protocol(), ec);
    socket_.async_connect(
        to,
        [self = shared_from_this(), done = std::move(done)](asio::error_code e)
        {
            if (self->open_)
                done(e);
        });
}

void tcp_stream::start(duration send_timeout, paused_peer policy)
{
    asio::error_code ec;
    socket_.non_blocking(true, ec);
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    int const fd = socket_.native_handle();
    set_socket_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_socket_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_socket_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set_send_timeout(fd, send_timeout);
    if (policy == paused_peer::is_awaited)
        window_checker_ = std::make_unique<window_checker>(
            socket_.get_executor(), send_timeout);
    read();
}

void tcp_stream::start_window_checks()
{
    if (!window_checker_ || window_checker_->is_running)
        return;
    window_checker_->is_running = true;
    window_checker_->check_timer.start(window_checker_->interval,
                                       [this] { check_window(); });
}

void tcp_stream::check_window()
{
    window_checker_->is_running = false;
    if (!open_)
        return;
    int const fd = socket_.native_handle();
    auto const state = read_send_state(fd);
    if (auto const limit = window_checker_->watch.limit(state, steady_now()))
        set_send_timeout(fd, *limit);
    if (state.unacknowledged_bytes > 0 || queued() > 0)
        start_window_checks();
}

void tcp_stream::read()
{
    if (!open_ || paused_ || reading_)
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](asio::error_code ec, std::size_t n)
        {
            self->reading_ = false;
            if (!self->open_)
                return;
            if (ec)
            {
                self->fail(ec);
                return;
            }
            if (self->handler_ != nullptr)
                self->handler_->on_bytes({self->read_buffer_.data(), n});
            self->read();
        });
}

void tcp_stream::resume_reading()
{
    paused_ = false;
    read();
}

bool tcp_stream::write(std::string_view first, std::string_view second)
{
    if (!open_)
        return false;
    if (first.size() + second.size() > unwatched_bytes)
        start_window_checks();
    if (queued() > 0 || writing_)
    {
        pending_.append(first);
        pending_.append(second);
        return true;
    }
    std::array<asio::const_buffer, 2> const buffers = {
        asio::buffer(first.data(), first.size()),
        asio::buffer(second.data(), second.size())};
    asio::error_code ec;
    std::size_t n = socket_.write_some(buffers, ec);
    if (ec && ec != asio::error::would_block && ec != asio::error::try_again)
        return false;
    if (ec)
        n = 0;
    written_ += n;
    if (n < first.size())
    {
        pending_.append(first.substr(n));
        pending_.append(second);
    }
    else
        pending_.append(second.substr(n - first.size()));
    if (queued() > 0)
        write_queued();
    return true;
}

void tcp_stream::write_queued()
{
    if (in_flight_written_ == in_flight_.size())
    {
        in_flight_.clear();
        in_flight_written_ = 0;
        in_flight_.swap(pending_);
    }
    writing_ = true;
    socket_.async_write_some(
        asio::buffer(in_flight_.data() + in_flight_written_,
                     in_flight_.size() - in_flight_written_),
        [self = shared_from_this()](asio::error_code ec, std::size_t n)
        {
            self->writing_ = false;
            if (!self->open_)
                return;
            if (ec)
            {
                self->fail(ec);
                return;
            }
            self->in_flight_written_ += n;
            self->written_ += n;
            if (self->queued() > 0)
            {
                self->write_queued();
                return;
            }
            self->release_queue();
            if (self->shutdown_pending_)
                self->shutdown_after_write();
            if (self->handler_ != nullptr)
                self->handler_->on_written();
        });
}

//! Frees the memory of the empty queue if a large message has left it. To
//! assign an empty string would keep it.
void tcp_stream::release_queue()
{
    if (queue_capacity() <= max_kept_capacity)
        return;
    std::string().swap(in_flight_);
    in_flight_written_ = 0;
    std::string().swap(pending_);
}

void tcp_stream::shutdown_after_write()
{
    shutdown_pending_ = true;
    if (!open_ || queued() > 0 || writing_)
        return;
    asio::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

std::size_t tcp_stream::unacknowledged()
{
    return queued() +
           std::size_t(unacknowledged_bytes(socket_.native_handle()));
}

bool tcp_stream::has_delivered_all()
{
    return unacknowledged() == 0 && !has_pending_error(socket_.native_handle());
}

void tcp_stream::fail(asio::error_code ec)
{
    if (ec == asio::error::eof && !has_delivered_all())
        ec = asio::error::connection_aborted;
    auto* owner = std::exchange(handler_, nullptr);
    close();
    if (owner != nullptr)
        owner->on_end(ec);
}

bool tcp_stream::has_input() const
{
    asio::error_code ec;
    return open_ && socket_.available(ec) > 0;
}

bool tcp_stream::is_quiet()
{
    if (!open_)
        return false;
    char first = 0;
    auto const n = ::recv(socket_.native_handle(), &first, sizeof(first),
                          MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::ip::address tcp_stream::remote_address() const
{
    asio::error_code ec;
    auto const peer = socket_.remote_endpoint(ec);
    return ec ? asio::ip::address() : peer.address();
}

void tcp_stream::reset()
{
    asio::error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

void tcp_stream::close()
{
    if (!open_)
        return;
    open_ = false;
    window_checker_.reset();
    asio::error_code ec;
    socket_.close(ec);
}

} // namespace buckthornvale::net
