#include <buckthornvale/daemon/entry_node.hpp>
#include <buckthornvale/serving/log/logging.hpp>
#include <buckthornvale/settings/process/process_settings.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(config, "", "TOML file with the settings of this process");
DEFINE_bool(check, false, "check the settings file and exit");

namespace
{

namespace daemon = buckthornvale::daemon;
namespace settings = buckthornvale::settings;

// Exit codes of the program.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

std::uint64_t random_incarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

settings::process_result read_settings(std::string const& file)
{
    std::ifstream in(file);
    if (!in)
    {
        settings::process_result result;
        settings::problem problem;
        problem.kind = settings::problem_kind::missing_object;
        problem.path = file;
        problem.message = "the settings file cannot be read";
        problem.remedy = "give an existing file with --config";
        result.problems.push_back(problem);
        return result;
    }
    std::stringstream text;
    text << in.rdbuf();
    return settings::parse_process(file, text.str());
}

int serve(settings::process_settings const& process)
{
    daemon::entry_node node(process, random_incarnation());
    if (auto const status = node.start(); !status.ok())
    {
        std::cerr << status.message() << '\n';
        return exit_failed;
    }
    std::printf("listening http %s:%u peer %s:%u\n",
                process.http.address.c_str(), unsigned{node.http_port()},
                process.peer.address.c_str(), unsigned{node.peer_port()});
    std::fflush(stdout);

    asio::io_context signals_loop;
    asio::signal_set signals(signals_loop, SIGTERM, SIGINT);
    signals.async_wait(
        [&](asio::error_code ec, int)
        {
            if (!ec)
                node.drain();
        });
    std::thread signal_thread([&] { signals_loop.run(); });
    node.run();
    signals_loop.stop();
    signal_thread.join();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("one entry VM of a buckthornvale fleet\n"
                            "  buckthornvaled --config FILE [--check]\n"
                            "exit codes: 0 drained, 1 cannot start, "
                            "2 bad settings");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const parsed = read_settings(FLAGS_config);
    for (auto const& it : parsed.problems)
        std::cerr << settings::to_text(it) << '\n';
    if (!parsed.settings)
        return exit_bad_settings;
    if (FLAGS_check)
        return exit_ok;
    buckthornvale::serving::log::start_logging(parsed.settings->log.level);
    return serve(*parsed.settings);
}
