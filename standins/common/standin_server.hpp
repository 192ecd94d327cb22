#ifndef BUCKTHORNVALE_STANDINS_COMMON_STANDIN_SERVER_HPP
#define BUCKTHORNVALE_STANDINS_COMMON_STANDIN_SERVER_HPP

#include "common/call.hpp"
#include "common/connection_server.hpp"
#include "common/crossing.hpp"
#include "common/executions.hpp"
#include "common/faults.hpp"
#include "common/slot_queue.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace buckthornvale::standins
{

//! Settings of a stand-in.
struct standin_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; //!< 0: any free port
    std::string name = "runner";
    std::size_t slots = 4;
    double speed = 1.;         //!< all work takes 1/speed of its time
    std::uint32_t work_ms = 0; //!< time of a call at speed 1
    //! Called for an input with the exit marker. Default: ends the process.
    std::function<void()> on_exit;
};

//! What the two stand-ins share: the server, the faults, the slots, the
//! counts, and POST /faults and GET /executions.
class standin_server
{
public:
    explicit standin_server(standin_settings settings);
    virtual ~standin_server();
    standin_server(standin_server const&) = delete;
    standin_server& operator=(standin_server const&) = delete;

    //! Binds and serves on own threads; false when the address is taken.
    bool start();
    std::uint16_t port() const { return port_; }
    //! Waits until the server was stopped.
    void wait();
    //! Ends at once; calls in flight lose their connections.
    void stop();

    //! The switch behind POST /faults, for tests in the same process.
    void set_faults(faults const& value);
    executions const& executed() const { return executions_; }
    std::size_t running() const { return slots_.running(); }
    std::size_t queued() const { return slots_.queued(); }

protected:
    using handler = httplib::Server::Handler;

    //! Adds a route that answers nothing while the stand-in is frozen.
    void get(std::string const& pattern, handler const& action);
    void post(std::string const& pattern, handler const& action);

    //! One call that passed the faults which come before its execution.
    struct admitted
    {
        call given;
        faults active;
        std::shared_ptr<std::atomic<bool>> cancelled;
        std::shared_ptr<void> slot; //!< releases the slot when dropped
    };

    //! Parses a call, applies the faults before execution, waits for a slot
    //! and counts the execution; null when the response is complete.
    std::shared_ptr<admitted> admit(httplib::Request const&,
                                    httplib::Response&);
    //! Applies the faults after execution; false when the response is
    //! complete.
    bool finish(faults const& active, httplib::Response&);

    //! Sets {"attempt_id","output"}, of another call when answers cross.
    void answer(admitted const& mine, std::string const& output_runner,
                httplib::Response&);

    void cancel(std::string const& attempt_id);

    //! Sleeps; returns early, with false, when cancelled or stopping.
    bool pause(double milliseconds, std::atomic<bool> const* cancelled);
    //! Waits while frozen; false when stopping.
    bool wait_while_frozen();
    //! Ends the connection of this thread without an answer.
    static void drop();

    standin_settings const settings_;
    fault_switch faults_;
    executions executions_;
    crossing crossing_;
    slot_queue slots_;

private:
    void serve_faults(httplib::Request const&, httplib::Response&);
    std::shared_ptr<std::atomic<bool>> track(std::string const& attempt_id);

    connection_server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::weak_ptr<std::atomic<bool>>> in_flight_;
    std::atomic<bool> stopping_{false};
    std::uint16_t port_ = 0;
    std::thread listener_;
};

} // namespace buckthornvale::standins

#endif
