#include <buckthornvale/gateway/gateway_process.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(config, "",
              "settings file of this VM; if empty, taken from the environment "
              "or the default path");
DEFINE_bool(check, false, "check the settings file and exit");

namespace
{

namespace platform = buckthornvale::platform;
using buckthornvale::gateway::gateway_process;

// Exit codes.
constexpr int exit_ok = 0;
constexpr int exit_cannot_start = 1;
constexpr int exit_bad_settings = 2;

std::string settings_path()
{
    if (!FLAGS_config.empty())
        return FLAGS_config;
    char const* path = std::getenv(platform::settings_path_variable);
    return path != nullptr ? path : platform::default_settings_path;
}

absl::StatusOr<platform::node_settings> read_settings()
{
    auto const path = settings_path();
    std::ifstream in(path);
    if (!in)
        return absl::NotFoundError(
            path +
            ": cannot read the settings file; set its path with --config");
    std::stringstream text;
    text << in.rdbuf();
    return platform::parse_node_settings(text.str());
}

std::uint64_t random_incarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

//! Blocks or unblocks the signal that tells of new settings.
void mask_reload_signal(int how)
{
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGHUP);
    ::sigprocmask(how, &signals, nullptr);
}

void reload_settings(gateway_process& process)
{
    auto const settings = read_settings();
    if (settings.ok())
        process.reload(*settings);
    else
        process.refuse_reload(std::string(settings.status().message()));
}

//! Checks the settings as a start does, and prints what a start would log.
int check(platform::node_settings const& settings)
{
    for (auto const& it : settings.warnings)
        std::cerr << it << '\n';
    return exit_ok;
}

std::filesystem::file_time_type settings_mtime()
{
    std::error_code ec;
    return std::filesystem::last_write_time(settings_path(), ec);
}

//! Polls the settings file, since it may change without a SIGHUP.
void watch_settings(asio::steady_timer& timer, gateway_process& process,
                    std::filesystem::file_time_type last_seen)
{
    constexpr std::chrono::seconds interval{2};
    timer.expires_after(interval);
    timer.async_wait(
        [&timer, &process, last_seen](asio::error_code ec)
        {
            if (ec)
                return;
            auto const current = settings_mtime();
            if (current != last_seen)
                reload_settings(process);
            watch_settings(timer, process, current);
        });
}

void wait_for_signals(asio::signal_set& signals, gateway_process& process)
{
    signals.async_wait(
        [&](asio::error_code ec, int number)
        {
            if (ec)
                return;
            if (number == SIGHUP)
                reload_settings(process);
            else
                process.drain();
            wait_for_signals(signals, process);
        });
}

int serve(platform::node_settings const& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context loop(1);
    gateway_process process(loop, settings, random_incarnation(), 1);
    asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    wait_for_signals(signals, process);
    mask_reload_signal(SIG_UNBLOCK);
    asio::steady_timer settings_timer(loop);
    watch_settings(settings_timer, process, settings_mtime());
    try
    {
        process.start();
    }
    catch (std::exception const& e)
    {
        std::cerr << "cannot listen: " << e.what()
                  << "; check the addresses in the settings file\n";
        return exit_cannot_start;
    }
    loop.run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    // Until it is handled, it would end the process.
    mask_reload_signal(SIG_BLOCK);
    gflags::SetUsageMessage(
        "runs the gateway process of one VM\n"
        "  buckthornvale-gateway [--config FILE] [--check]\n"
        "exit codes: 0 drained, 1 cannot start, "
        "2 bad settings");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const settings = read_settings();
    if (!settings.ok())
    {
        std::cerr << settings.status().message() << '\n';
        return exit_bad_settings;
    }
    return FLAGS_check ? check(*settings) : serve(*settings);
}
