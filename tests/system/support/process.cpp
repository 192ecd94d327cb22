#include "support/process.hpp"

#include "support/await.hpp"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace buckthornvale::tests
{

process::process(std::vector<std::string> arguments,
                 std::string const& log_path)
{
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    output_fd_ = pipe_ends[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, 0600);
    std::vector<char*> argv;
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    auto const error =
        posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    if (error != 0)
    {
        pid_ = -1;
        close(output_fd_);
        throw std::runtime_error("posix_spawn failed for " + arguments[0]);
    }
    try
    {
        read_listening_line();
    }
    catch (std::exception const&)
    {
        kill();
        close(output_fd_);
        throw;
    }
}

process::~process()
{
    if (running())
    {
        ::kill(pid_, SIGKILL);
        reap(0);
    }
    close(output_fd_);
}

void process::read_listening_line()
{
    while (listening_line_.rfind("listening", 0) != 0 ||
           listening_line_.back() != '\n')
    {
        if (!listening_line_.empty() && listening_line_.back() == '\n')
            listening_line_.clear();
        pollfd ready{output_fd_, POLLIN, 0};
        char c = 0;
        if (poll(&ready, 1, static_cast<int>(hang_timeout.count())) <= 0 ||
            read(output_fd_, &c, 1) != 1)
            throw std::runtime_error(
                "the program did not print a line that begins with listening");
        listening_line_ += c;
    }
    listening_line_.pop_back();
}

std::string process::address_after(std::string const& label) const
{
    auto const at = listening_line_.find(label + ' ');
    if (at == std::string::npos)
        throw std::runtime_error("no address after the label in: " +
                                 listening_line_);
    auto const begin = at + label.size() + 1;
    return listening_line_.substr(begin,
                                  listening_line_.find(' ', begin) - begin);
}

bool process::reap(int options)
{
    if (pid_ <= 0)
        return true;
    int status = 0;
    if (waitpid(pid_, &status, options) != pid_)
        return false;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    pid_ = -1;
    return true;
}

void process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool process::running()
{
    return !reap(WNOHANG);
}

int process::wait()
{
    await("a process to exit", [this] { return reap(WNOHANG); });
    return status_;
}

int process::kill()
{
    signal(SIGKILL);
    return wait();
}

} // namespace buckthornvale::tests
