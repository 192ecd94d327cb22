#include "slow_link.hpp"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>

namespace buckthornvale::standins::fleet_platform
{

namespace
{

using asio::ip::tcp;

//! The windows of such links are small: what waits, waits at the sender.
constexpr int receive_buffer_bytes = 8'192;
constexpr std::size_t part_bytes = 4'096;

asio::ip::address loopback()
{
    return asio::ip::address_v4::loopback();
}

void reset(tcp::socket& socket)
{
    asio::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace

//! One connection over the link.
class slow_link::session : public std::enable_shared_from_this<session>
{
public:
    session(slow_link& owner, tcp::socket client)
        : owner_(&owner), client_(std::move(client)), server_(owner.loop_),
          up_timer_(owner.loop_), down_timer_(owner.loop_)
    {
    }

    void start()
    {
        asio::error_code ec;
        server_.open(tcp::v4(), ec);
        server_.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes), ec);
        server_.async_connect(
            owner_->server_,
            [self = shared_from_this()](asio::error_code e)
            {
                if (e)
                {
                    self->end();
                    return;
                }
                self->forward(self->client_, self->server_, &slow_link::up_,
                              self->up_timer_, self->up_part_);
                self->forward(self->server_, self->client_, &slow_link::down_,
                              self->down_timer_, self->down_part_);
            });
    }

    //! The link is gone, or it is cut.
    void end()
    {
        owner_ = nullptr;
        reset(client_);
        reset(server_);
        up_timer_.cancel();
        down_timer_.cancel();
    }

    void silence() { silent_ = true; }

private:
    using part = std::array<char, part_bytes>;

    void forward(tcp::socket& from, tcp::socket& to, direction slow_link::*way,
                 asio::steady_timer& timer, part& buf)
    {
        from.async_read_some(
            asio::buffer(buf),
            [this, self = shared_from_this(), &from, &to, way, &timer,
             &buf](asio::error_code ec, std::size_t n)
            {
                if (ec || owner_ == nullptr)
                {
                    end();
                    return;
                }
                if (way == &slow_link::down_)
                    owner_->received_ += n;
                timer.expires_at(owner_->carry(owner_->*way, n));
                timer.async_wait(
                    [this, self, &from, &to, way, &timer, &buf,
                     n](asio::error_code e)
                    {
                        if (e || owner_ == nullptr || silent_)
                            return;
                        asio::async_write(
                            to, asio::buffer(buf.data(), n),
                            [this, self, &from, &to, way, &timer,
                             &buf](asio::error_code failed, std::size_t)
                            {
                                if (failed || owner_ == nullptr)
                                    end();
                                else
                                    forward(from, to, way, timer, buf);
                            });
                    });
            });
    }

    slow_link* owner_; //!< unset after the end
    bool silent_ = false;
    tcp::socket client_;
    tcp::socket server_;
    asio::steady_timer up_timer_;
    asio::steady_timer down_timer_;
    part up_part_{};
    part down_part_{};
};

slow_link::slow_link(asio::io_context& loop, std::uint16_t server_port,
                     double bytes_per_s)
    : loop_(loop), server_(loopback(), server_port), bytes_per_s_(bytes_per_s),
      acceptor_(loop)
{
    acceptor_.open(tcp::v4());
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    acceptor_.bind({loopback(), 0});
    acceptor_.listen();
    accept();
}

slow_link::~slow_link()
{
    set_cut(true);
}

void slow_link::set_cut(bool cut)
{
    cut_ = cut;
    if (!cut)
        return;
    for (auto const& it : sessions_)
        if (auto const open = it.lock())
            open->end();
    sessions_.clear();
    silent_sessions_.clear();
}

void slow_link::silence_connections()
{
    for (auto const& it : sessions_)
        if (auto const open = it.lock())
        {
            open->silence();
            silent_sessions_.push_back(open);
        }
}

void slow_link::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code ec, tcp::socket socket)
        {
            if (ec)
                return;
            if (cut_)
                reset(socket);
            else
            {
                auto const opened =
                    std::make_shared<session>(*this, std::move(socket));
                sessions_.push_back(opened);
                opened->start();
            }
            accept();
        });
}

slow_link::clock::time_point slow_link::carry(direction& to,
                                              std::size_t bytes) const
{
    auto const time = std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(double(bytes) / bytes_per_s_));
    to.free_at = std::max(to.free_at, clock::now()) + time;
    return to.free_at;
}

} // namespace buckthornvale::standins::fleet_platform
