#include "gateway_vm.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string_view>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace buckthornvale::soak
{

gateway_vm::gateway_vm(asio::io_context& loop, std::string program,
                       std::string const& folder,
                       standins::fleet_platform::vm_settings settings)
    : program_(std::move(program)),
      settings_path_(folder + "/" + settings.name + ".conf"),
      log_path_(folder + "/" + settings.name + ".log"),
      settings_(std::move(settings))
{
    settings_.caller_port = reserve_port(loop);
    settings_.readiness_port = reserve_port(loop);
    settings_.peer_port = reserve_port(loop);
}

gateway_vm::~gateway_vm()
{
    if (pid_ < 0)
        return;
    ::kill(pid_, SIGKILL);
    reap(0);
}

std::uint16_t gateway_vm::reserve_port(asio::io_context& loop)
{
    asio::ip::tcp::socket socket(loop, asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind({asio::ip::make_address("127.0.0.1"), 0});
    auto const port = socket.local_endpoint().port();
    reserved_ports_.push_back(std::move(socket));
    return port;
}

void gateway_vm::start()
{
    std::ofstream(settings_path_)
        << standins::fleet_platform::settings_text(settings_);
    settings_.first_start = false;
    stopping_ = false;
    pid_ = ::fork();
    if (pid_ < 0)
        throw std::runtime_error("cannot start a process; use fewer VMs");
    if (pid_ > 0)
        return;
    // The gateway must not outlive a soak that is ended from outside.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const fd =
        ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execl(program_.c_str(), program_.c_str(), "--config",
            settings_path_.c_str(), nullptr);
    ::_exit(EXIT_FAILURE);
}

void gateway_vm::signal(int number)
{
    if (!running())
        return;
    stopping_ = stopping_ || number == SIGTERM;
    ::kill(pid_, number);
}

void gateway_vm::kill(time_point now)
{
    if (!running())
        return;
    killed_at_ = now;
    stopping_ = true;
    ::kill(pid_, SIGKILL);
    reap(0);
}

bool gateway_vm::running()
{
    if (pid_ >= 0)
        reap(WNOHANG);
    return pid_ >= 0;
}

long gateway_vm::peak_memory_kb() const
{
    constexpr std::string_view field = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line))
        if (line.compare(0, field.size(), field) == 0)
            return std::stol(line.substr(field.size()));
    return 0;
}

bool gateway_vm::exceeds_memory() const
{
    return peak_memory_kb() > settings_.memory_mb * 1024L;
}

std::size_t gateway_vm::open_sockets() const
{
    std::error_code ec;
    std::filesystem::directory_iterator const all(
        "/proc/" + std::to_string(pid_) + "/fd", ec);
    return std::count_if(begin(all), end(all),
                         [](auto const& it)
                         {
                             std::error_code gone;
                             auto const to =
                                 read_symlink(it.path(), gone).string();
                             return to.compare(0, 7, "socket:") == 0 ||
                                    to.compare(0, 5, "pipe:") == 0;
                         });
}

void gateway_vm::reap(int options)
{
    int status = 0;
    if (::waitpid(pid_, &status, options) != pid_)
        return;
    if (!stopping_)
        crash_ = WIFSIGNALED(status)
                     ? "signal " + std::to_string(WTERMSIG(status))
                     : "status " + std::to_string(WEXITSTATUS(status));
    pid_ = -1;
}

} // namespace buckthornvale::soak
