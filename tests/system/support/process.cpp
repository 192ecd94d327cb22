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

process::process(std::vector<std::string> arguments, std::string const& log)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    output_ = ends[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, 0600);
    std::vector<char*> argv;
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    auto const error =
        posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    if (error != 0)
    {
        pid_ = -1;
        close(output_);
        throw std::runtime_error("cannot start " + arguments[0]);
    }
    try
    {
        read_line();
    }
    catch (std::exception const&)
    {
        kill();
        close(output_);
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
    close(output_);
}

void process::read_line()
{
    while (listening_.rfind("listening", 0) != 0 || listening_.back() != '\n')
    {
        if (!listening_.empty() && listening_.back() == '\n')
            listening_.clear();
        pollfd ready{output_, POLLIN, 0};
        char c = 0;
        if (poll(&ready, 1, static_cast<int>(hang_limit.count())) <= 0 ||
            read(output_, &c, 1) != 1)
            throw std::runtime_error("the program did not say listening");
        listening_ += c;
    }
    listening_.pop_back();
}

std::string process::address_after(std::string const& word) const
{
    auto const at = listening_.find(word + ' ');
    if (at == std::string::npos)
        throw std::runtime_error("no address in: " + listening_);
    auto const begin = at + word.size() + 1;
    return listening_.substr(begin, listening_.find(' ', begin) - begin);
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
    await("the end of a process", [this] { return reap(WNOHANG); });
    return status_;
}

int process::kill()
{
    signal(SIGKILL);
    return wait();
}

} // namespace buckthornvale::tests
