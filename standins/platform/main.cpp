#include "platform_server.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_int32(port, 0, "TCP port on 127.0.0.1; 0 lets the system choose");
DEFINE_string(load, "",
              "folder tree of initial objects; a file's path below it, "
              "without .toml, is the object's path");
DEFINE_double(reads_per_second, 0., "budget of reads; 0 is no limit");
DEFINE_double(writes_per_second, 0., "budget of writes; 0 is no limit");

namespace
{

namespace fs = std::filesystem;
using namespace buckthornvale::standins::platform;

bool load(object_store& store, fs::path const& root)
{
    std::error_code ec;
    fs::recursive_directory_iterator const files(root, ec);
    if (ec)
        return false;
    for (auto const& it : files)
    {
        if (!it.is_regular_file())
            continue;
        auto path = fs::relative(it.path(), root);
        if (path.extension() == ".toml")
            path.replace_extension();
        std::ifstream file(it.path(), std::ios::binary);
        std::ostringstream value;
        value << file.rdbuf();
        store.put(path.generic_string(), 0, value.str());
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's object API");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    // Blocked before any thread starts, so that only sigwait sees them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    platform_server server;
    if (!FLAGS_load.empty() && !load(server.store(), FLAGS_load))
    {
        std::cerr << "cannot read the folder " << FLAGS_load
                  << "; name an existing folder with --load\n";
        return 2;
    }
    if (FLAGS_reads_per_second > 0. || FLAGS_writes_per_second > 0.)
    {
        server.gate().set_budget(
            {FLAGS_reads_per_second, FLAGS_writes_per_second});
    }
    auto const port = server.start(FLAGS_port);
    if (port == 0)
    {
        std::cerr << "cannot bind port " << FLAGS_port
                  << "; choose a free one or --port 0\n";
        return 1;
    }
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    server.stop();
    return 0;
}
