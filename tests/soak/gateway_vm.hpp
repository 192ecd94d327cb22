#ifndef BUCKTHORNVALE_TESTS_SOAK_GATEWAY_VM_HPP
#define BUCKTHORNVALE_TESTS_SOAK_GATEWAY_VM_HPP

#include <buckthornvale/net/clock.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <standins/fleet_platform/settings.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace buckthornvale::soak
{

using net::time_point;

//! A VM: the gateway program as a process of its own, on ports that it keeps
//! when it is started again. The destructor kills the process.
class gateway_vm
{
public:
    //! Chooses the listening ports; the other settings are taken as given.
    gateway_vm(asio::io_context& loop, std::string program,
               std::string const& folder,
               standins::fleet_platform::vm_settings settings);
    ~gateway_vm();
    gateway_vm(gateway_vm const&) = delete;
    gateway_vm& operator=(gateway_vm const&) = delete;

    //! Starts the process. Throws std::runtime_error if that fails.
    void start();

    //! Signals the process, if it runs.
    void signal(int number);

    //! Kills the process at the time.
    void kill(time_point now);

    //! True while the process exists. Reaps it when it has ended.
    bool running();

    //! Time of the last kill; the epoch if there was none.
    time_point killed_at() const { return killed_at_; }

    //! How a process ended that was neither killed nor stopped; empty if none
    //! has.
    std::string const& crash() const { return crash_; }

    //! Most memory that the process that runs has used at a time; 0 if none
    //! runs.
    long peak_memory_kb() const;

    //! True if the process that runs has used more memory than the VM has.
    bool exceeds_memory() const;

    //! Number of sockets and pipes that the process has open.
    std::size_t open_sockets() const;

    standins::fleet_platform::vm_settings const& settings() const
    {
        return settings_;
    }
    std::uint16_t caller_port() const { return settings_.caller_port; }
    std::string const& name() const { return settings_.name; }

private:
    //! Returns a port that stays bound, so that no other process gets it.
    std::uint16_t reserve_port(asio::io_context& loop);
    void reap(int options);

    std::string const program_;
    std::string const settings_path_;
    std::string const log_path_;
    std::vector<asio::ip::tcp::socket> reserved_ports_;
    standins::fleet_platform::vm_settings settings_;
    pid_t pid_ = -1;
    bool stopping_ = false;
    std::string crash_;
    time_point killed_at_{};
};

} // namespace buckthornvale::soak

#endif
