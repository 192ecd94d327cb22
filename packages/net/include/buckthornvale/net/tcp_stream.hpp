#ifndef BUCKTHORNVALE_NET_TCP_STREAM_HPP
#define BUCKTHORNVALE_NET_TCP_STREAM_HPP

#include <buckthornvale/net/clock.hpp>

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

//! TCP connection with asynchronous reads and non-blocking, queued writes. Must
//! only be used on the thread of the event loop.
class tcp_stream : public std::enable_shared_from_this<tcp_stream>
{
public:
    //! Receives the events of the connection. It must outlive the stream or be
    //! removed with `detach`.
    class handler
    {
    public:
        virtual ~handler() = default;
        virtual void on_bytes(std::string_view bytes) = 0;

        //! The connection was closed by the peer or failed; called at most
        //! once. `asio::error::eof` only if the peer closed it in order and
        //! has acknowledged all that was written: a peer that crashes may close
        //! its connections in order too, and resets what is still sent to it.
        virtual void on_end(asio::error_code ec) = 0;

        //! All queued bytes were written.
        virtual void on_written() = 0;
    };

    //! What happens when the peer is alive but takes no bytes for the send
    //! timeout.
    enum class paused_peer
    {
        fails,     //!< the connection fails
        is_awaited //!< the connection goes on until the owner closes it
    };

    explicit tcp_stream(asio::ip::tcp::socket socket);
    ~tcp_stream();
    tcp_stream(tcp_stream const&) = delete;
    tcp_stream& operator=(tcp_stream const&) = delete;

    void attach(handler& owner) { handler_ = &owner; }
    void detach() { handler_ = nullptr; }

    //! Starts to connect. `done` is called unless the stream is closed first.
    void connect(asio::ip::tcp::endpoint const& to,
                 std::function<void(asio::error_code)> done);

    //! Sets the socket options of a connected socket and starts reading. The
    //! connection fails when written bytes, or probes of a peer that takes
    //! none, stay unacknowledged for the send timeout.
    void start(duration send_timeout = std::chrono::seconds(3),
               paused_peer policy = paused_peer::fails);

    //! Writes what the socket accepts without blocking and queues the rest.
    //! Returns false when the stream is closed, or the write failed before the
    //! socket accepted a byte.
    bool write(std::string_view first, std::string_view second = {});

    void pause_reading() { paused_ = true; }
    void resume_reading();

    //! True when the peer has sent bytes that were not read yet.
    bool has_input() const;

    //! True while the connection is open and nothing has arrived, neither bytes
    //! nor the end of the connection.
    bool is_quiet();

    //! Bytes waiting to be written.
    std::size_t queued() const
    {
        return in_flight_.size() - in_flight_written_ + pending_.size();
    }

    //! Bytes that were written and that the kernel of the peer has not
    //! acknowledged. The connection must be open.
    std::size_t unacknowledged();

    //! Memory of the queue.
    std::size_t queue_capacity() const
    {
        return in_flight_.capacity() + pending_.capacity();
    }

    bool is_reading_paused() const { return paused_; }

    //! Total number of bytes written to the socket.
    std::uint64_t written() const { return written_; }

    //! Shuts down the sending side once the queued bytes are written.
    void shutdown_after_write();

    void close();

    //! Closes the connection with a TCP reset instead of an orderly shutdown.
    void reset();
    bool is_open() const { return open_; }

    //! Address of the peer; unspecified when it is not connected.
    asio::ip::address remote_address() const;

private:
    struct window_checker;

    void read();
    void start_window_checks();
    void check_window();
    void write_queued();
    void release_queue();

    //! True when the kernel of the peer has acknowledged all that was written.
    //! That does not say that the peer has read it: if what was written fits
    //! the peer's receive buffer, a peer that closes in order before it reads
    //! it looks like one that has read all and sent a complete answer.
    bool has_delivered_all();
    void fail(asio::error_code ec);

    static constexpr std::size_t read_buffer_bytes = 8'192;

    asio::ip::tcp::socket socket_;
    handler* handler_ = nullptr;
    std::array<char, read_buffer_bytes> read_buffer_{};
    std::string in_flight_; //!< must not change during an asynchronous write
    std::size_t in_flight_written_ = 0;
    std::uint64_t written_ = 0;
    std::string pending_;
    bool open_ = true;
    bool paused_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool shutdown_pending_ = false;
    std::unique_ptr<window_checker> window_checker_; //!< unset: no checks
};

} // namespace buckthornvale::net

#endif
