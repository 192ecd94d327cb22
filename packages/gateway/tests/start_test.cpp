#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <standins/fleet_platform/settings.hpp>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace buckthornvale::gateway
{
namespace
{

//! Starts the gateway program with this settings file, to check it only.
pid_t start_check(std::string const& settings_path)
{
    auto const pid = ::fork();
    if (pid == 0)
    {
        ::execl(BUCKTHORNVALE_GATEWAY_PROGRAM, BUCKTHORNVALE_GATEWAY_PROGRAM,
                "--check", "--config", settings_path.c_str(), nullptr);
        ::_exit(127);
    }
    return pid;
}

// A process that was told of new settings while it read the old ones ended.
TEST(gateway_start, survives_a_reload_signal_while_it_reads_its_settings)
{
    auto const path = std::filesystem::temp_directory_path() /
                      ("gateway_start_" + std::to_string(::getpid()));
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    auto const pid = start_check(path);
    ASSERT_GT(pid, 0);
    // Returns when the program has opened the file too.
    int const fd = ::open(path.c_str(), O_WRONLY);
    ASSERT_GE(fd, 0);
    ASSERT_EQ(::kill(pid, SIGHUP), 0);
    standins::fleet_platform::vm_settings settings;
    settings.name = "vm-0";
    settings.caller_port = 1;
    settings.readiness_port = 2;
    settings.peer_port = 3;
    settings.store_port = 4;
    auto const text = standins::fleet_platform::settings_text(settings);
    std::signal(SIGPIPE, SIG_IGN);
    auto const written = ::write(fd, text.data(), text.size());
    ::close(fd);
    int status = 0;
    ASSERT_EQ(::waitpid(pid, &status, 0), pid);
    std::filesystem::remove(path);
    EXPECT_EQ(written, ssize_t(text.size()));
    ASSERT_TRUE(WIFEXITED(status)) << "signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

} // namespace
} // namespace buckthornvale::gateway
