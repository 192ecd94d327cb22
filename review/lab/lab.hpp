#ifndef BUCKTHORNVALE_REVIEW_LAB_HPP
#define BUCKTHORNVALE_REVIEW_LAB_HPP

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

//! Stand-ins of the store, the runners and the consumers, and real gateway
//! processes, for the cases of the review. All sockets are on loopback.
namespace lab
{

using nlohmann::json;

//! Results of a case, and its exit codes.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int cannot_run = 2;

//! Milliseconds since the start of the case.
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
void sleep_until_ms(std::int64_t at);

//! False if the case runs without its disruption (TROUBLE=0).
bool with_trouble();

//! Appends a line with the time to record.txt.
void note(std::string const& text);

//! Ends the case.
[[noreturn]] void finish(bool broken);

//! Ends the case because it could not run.
[[noreturn]] void give_up(std::string const& why);

struct message
{
    std::string first_line;
    std::map<std::string, std::string> headers; //!< names in lower case
    std::string body;

    std::string header(std::string const& name) const;
    std::string method() const;
    std::string target() const;
    std::string path() const;
    int status() const;
};

//! One TCP connection.
class channel
{
public:
    explicit channel(int fd);
    ~channel();
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    static std::shared_ptr<channel> connect_to(std::uint16_t port);

    bool write(std::string const& bytes);
    //! Reads the next message; nullopt at the end of the connection.
    std::optional<message> read();
    void set_read_timeout_ms(int ms);
    void close_orderly();
    void close_with_reset();

private:
    bool fill();

    int const fd_;
    std::string buffer_;
};

//! Accepts connections and serves each one in a thread.
class listener
{
public:
    using serve_function = std::function<void(std::shared_ptr<channel>)>;

    explicit listener(serve_function serve, std::uint16_t port = 0);

    std::uint16_t port() const { return port_; }
    std::string address() const;
    //! Closes the listening socket and all connections, those with a reset if
    //! `reset` is set.
    void stop(bool reset);

private:
    void run(int fd);

    serve_function serve_;
    std::uint16_t port_ = 0;
    std::atomic<int> fd_{-1};
    std::mutex mutex_;
    std::vector<std::weak_ptr<channel>> channels_;
};

//! The platform's store: list, watch, create, replace, remove.
class store
{
public:
    store();

    std::uint16_t port() const { return listener_->port(); }
    void put(std::string const& kind, std::string const& name,
             json specification);
    void remove(std::string const& kind, std::string const& name);
    std::size_t count(std::string const& kind);

    //! Waits until the kind is watched by a call that has just begun. Returns
    //! its time, or -1 after the timeout.
    std::int64_t wait_for_new_watch(std::string const& kind,
                                    std::int64_t timeout_ms);
    //! The channels on which a watch of the kind waits return nothing more.
    //! New channels work. Returns their number.
    std::size_t silence_watches(std::string const& kind);

private:
    struct watcher
    {
        std::string kind;
        bool silent = false;
    };

    void serve(std::shared_ptr<channel> const& to);
    bool answer(channel& to, message const& call);
    bool watch(channel& to, std::string const& kind, std::uint64_t from,
               std::int64_t wait_ms);
    void note_change(std::string const& kind, json object, bool deleted);

    struct change
    {
        std::uint64_t revision;
        std::string kind;
        json event;
    };

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<change> changes_;
    std::vector<std::shared_ptr<watcher>> watchers_;
    std::map<std::string, std::uint64_t> watch_calls_;
    std::unique_ptr<listener> listener_;
};

//! A runner. Its handler answers each request.
class runner
{
public:
    using handler = std::function<void(runner&, channel&, message const&)>;

    runner(std::string id, std::string service, int slots, handler serve);

    std::string const& id() const { return id_; }
    std::string address() const { return listener_->address(); }
    json entry(std::string const& state) const;
    //! Ends, and closes its connections.
    void end(bool reset);
    //! Starts again at the same address, as another lifetime.
    void start_again(std::string id);

    std::atomic<bool> leaving{false};

private:
    void serve(std::shared_ptr<channel> const& to);

    std::string id_;
    std::string const service_;
    int const slots_;
    handler handler_;
    std::int64_t born_;
    std::unique_ptr<listener> listener_;
    std::uint16_t port_ = 0;
};

//! Answer of a runner to a request, with its seal.
std::string sealed_answer(runner const& from, message const& request,
                          std::string const& body, bool close = false);
//! Answer of a runner that did not run the request.
std::string not_executed_answer(message const& request, int status);

//! One gateway process.
class gateway
{
public:
    gateway(std::string name, std::uint16_t store_port);
    ~gateway();

    void start(bool first_start);
    //! Waits until it says that it is ready.
    void wait_ready();
    void send_signal(int number) const;
    //! Waits for its end, and kills it after the timeout.
    void wait_end(std::int64_t timeout_ms);
    std::uint16_t port() const { return caller_port_; }
    //! Resident memory.
    std::size_t memory_mb() const;

private:
    std::uint16_t reserve_port();

    std::string name_;
    std::uint16_t store_port_;
    std::vector<int> reserved_;
    std::uint16_t caller_port_ = 0;
    std::uint16_t ready_port_ = 0;
    std::uint16_t peer_port_ = 0;
    pid_t pid_ = -1;
};

//! Head and body of a request of a consumer.
struct request
{
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string key = "key-1";
    int deadline_ms = 2500;
    std::string more_headers;
    std::string body = "{}";

    std::string text() const;
};

//! Sends the request on a new channel, or on a kept one, and reads the answer.
std::optional<message> send(std::uint16_t port, request const& what);
//! The consumer leaves after the timeout; by default it waits a second longer
//! than it says.
std::optional<message> send_on(std::shared_ptr<channel>& kept,
                               std::uint16_t port, request const& what,
                               int timeout_ms = -1);

//! A manifest with this content, in its newest version.
json manifest(int version, json routes, json services, json tenants);
json route(std::string const& prefix, std::string const& kind,
           std::string const& service, int attempts);
json one_tenant(std::vector<std::string> const& keys);

} // namespace lab

#endif
