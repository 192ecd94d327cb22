#ifndef BUCKTHORNVALE_NET_TCP_STREAM_HPP
#define BUCKTHORNVALE_NET_TCP_STREAM_HPP

#include <asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornvale::net
{

//! A TCP connection that reads as bytes come and never blocks on a write. All
//! calls are made on the thread of the event loop.
class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    //! Takes what happens on the connection. It must outlive the stream or be
    //! removed with `detach`.
    class handler
    {
    public:
        virtual ~handler() = default;
        virtual void on_bytes(std::string_view bytes) = 0;

        //! The peer ended or reset the connection; called once.
        virtual void on_end(asio::error_code ec) = 0;

        //! All queued bytes were written.
        virtual void on_written() = 0;
    };

    explicit tcp_stream(asio::ip::tcp::socket socket);

    void attach(handler& owner) { handler_ = &owner; }
    void detach() { handler_ = nullptr; }

    //! Starts to connect; `done` is called unless the stream is closed before.
    void connect(asio::ip::tcp::endpoint const& to,
                 std::function<void(asio::error_code)> done);

    //! Sets the options of an open socket and starts to read.
    void start();

    //! Writes what the socket takes now and queues the rest. False when the
    //! socket has failed before it took a single byte.
    bool write(std::string_view first, std::string_view second = {});

    void pause_reading() { paused_ = true; }
    void resume_reading();

    //! Bytes that wait to be written.
    std::size_t queued() const
    {
        return in_flight_.size() - in_flight_written_ + pending_.size();
    }

    //! Bytes that the socket has taken since the start.
    std::uint64_t written() const { return written_; }

    //! Ends the sending direction after the queued bytes.
    void shutdown_after_write();

    void close();

    //! Closes so that the peer sees a reset and not an orderly end.
    void reset();
    bool is_open() const { return open_; }

    //! Unspecified when the peer is not connected.
    asio::ip::address remote_address() const;

private:
    void read();
    void write_queued();
    void fail(asio::error_code ec);

    static constexpr std::size_t read_buffer_bytes = 8'192;

    asio::ip::tcp::socket socket_;
    handler* handler_ = nullptr;
    std::array<char, read_buffer_bytes> read_buffer_{};
    std::string in_flight_; //!< not changed while a write is in progress
    std::size_t in_flight_written_ = 0;
    std::uint64_t written_ = 0;
    std::string pending_;
    bool open_ = true;
    bool paused_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool shutdown_pending_ = false;
};

} // namespace buckthornvale::net

#endif
