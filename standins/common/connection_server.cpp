#include "common/connection_server.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace buckthornvale::standins
{

namespace
{

constexpr int backlog = 512;

thread_local connection* current_connection = nullptr;
thread_local bool refusing = false;

//! Thread pool with a bounded queue. Threads start on demand. A task beyond
//! the bound runs at once on the accepting thread with `refusing` set.
class bounded_queue : public httplib::TaskQueue
{
public:
    bounded_queue(std::size_t threads, std::size_t max_queued)
        : max_threads_(threads), max_queued_(max_queued)
    {
    }

    void enqueue(std::function<void()> task) override
    {
        {
            std::lock_guard lock(mutex_);
            if (idle_ > tasks_.size() || threads_.size() < max_threads_ ||
                tasks_.size() < max_queued_)
            {
                tasks_.push_back(std::move(task));
                if (idle_ < tasks_.size() && threads_.size() < max_threads_)
                    threads_.emplace_back([this] { work(); });
                changed_.notify_one();
                return;
            }
        }
        refusing = true;
        task();
        refusing = false;
    }

    void shutdown() override
    {
        {
            std::lock_guard lock(mutex_);
            stopped_ = true;
        }
        changed_.notify_all();
        for (auto& it : threads_)
            it.join();
        threads_.clear();
    }

private:
    void work()
    {
        std::unique_lock lock(mutex_);
        for (;;)
        {
            ++idle_;
            changed_.wait(lock, [&] { return stopped_ || !tasks_.empty(); });
            --idle_;
            if (tasks_.empty())
                return;
            auto const task = std::move(tasks_.front());
            tasks_.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::size_t const max_threads_;
    std::size_t const max_queued_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool stopped_ = false;
};

void replace_header(httplib::Request& request, char const* name,
                    char const* value)
{
    request.headers.erase(name);
    request.set_header(name, value);
}

//! Switches off what cpp-httplib would do on its own with a request.
void normalise(httplib::Request& request)
{
    // Multipart and form bodies would be parsed and not kept as they came.
    if (request.has_header("Content-Type"))
        replace_header(request, "Content-Type", "application/json");
    // A compressed answer would hold back tokens of a stream.
    request.headers.erase("Accept-Encoding");
    // A range would cut an answer.
    request.ranges.clear();
    // Without a length, a POST would be read until the caller closes.
    if (!request.has_header("Content-Length") &&
        !request.has_header("Transfer-Encoding"))
        request.set_header("Content-Length", "0");
}

//! True when cpp-httplib leaves a body unread, which would be taken for the
//! next request of the connection.
bool leaves_body(httplib::Request const& request)
{
    auto const reads = request.method == "POST" || request.method == "PUT" ||
                       request.method == "PATCH";
    return !reads && (request.has_header("Transfer-Encoding") ||
                      request.get_header_value("Content-Length") != "0");
}

} // namespace

connection_server::connection_server(server_limits const& limits)
    : limits_(limits)
{
    set_payload_max_length(limits.connection.max_body_bytes);
    set_tcp_nodelay(true);
    new_task_queue = [limits]() -> httplib::TaskQueue* {
        return new bounded_queue(limits.threads, limits.max_queued_connections);
    };
}

connection* connection_server::current()
{
    return current_connection;
}

void connection_server::raise_backlog()
{
    ::listen(svr_sock_, backlog);
}

void connection_server::stop_accepting()
{
    if (stopping_.exchange(true))
        return;
    stop_event_.signal();
    // accept() fails from now on. The member svr_sock_ must keep its value:
    // cpp-httplib ends chunked answers once it is INVALID_SOCKET.
    ::shutdown(svr_sock_, SHUT_RDWR);
}

void connection_server::refuse(socket_t sock) const
{
    ::shutdown(sock, SHUT_WR);
    char buf[4096];
    while (::recv(sock, buf, sizeof(buf), MSG_DONTWAIT) > 0)
    {
    }
}

void connection_server::serve(connection& caller)
{
    for (auto left = limits_.max_requests_per_connection; left > 0; --left)
    {
        if (!caller.wait_for_request(stop_event_.descriptor()))
            return;
        caller.begin_request();
        auto const last = left == 1 || stopping_;
        bool closed = false;
        auto const prepare = [&](httplib::Request& request)
        {
            caller.head_received();
            normalise(request);
            if (!leaves_body(request))
                return;
            closed = true;
            replace_header(request, "Connection", "close");
        };
        auto const sent = process_request(caller, last, closed, prepare);
        if (caller.fault() != receive_fault::none && !caller.abandoned())
            caller.linger();
        if (!sent || closed || last || caller.abandoned() ||
            caller.fault() != receive_fault::none)
            return;
    }
}

bool connection_server::process_and_close_socket(socket_t sock)
{
    if (refusing)
    {
        refuse(sock);
    }
    else
    {
        connection caller(sock, limits_.connection);
        current_connection = &caller;
        serve(caller);
        current_connection = nullptr;
        ::shutdown(sock, SHUT_RDWR);
    }
    ::close(sock);
    return true;
}

} // namespace buckthornvale::standins
