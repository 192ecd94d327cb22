#include "common/engine.hpp"
#include "common/program.hpp"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0: any free port");
DEFINE_string(name, "engine", "name of the runner in its outputs");
DEFINE_uint32(slots, 4, "calls that run at once");
DEFINE_double(speed, 1., "all work takes 1/speed of its time");
DEFINE_uint32(work_ms, 0, "time of a call at speed 1");
DEFINE_uint32(token_ms, 0, "time per token at speed 1");
DEFINE_uint32(block_ms, 0, "time per uncached prompt block at speed 1");
DEFINE_uint32(cold_start_ms, 0, "time to load a model or an adapter");
DEFINE_uint32(cache_blocks, 256, "prompt blocks that the cache holds");
DEFINE_string(models, "", "models loaded at the start, separated by commas");
DEFINE_string(adapters, "", "adapters loaded at the start");

int main(int argc, char** argv)
{
    using namespace buckthornvale::standins;
    gflags::SetUsageMessage("stand-in for a model engine");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standin_settings settings;
    settings.address = FLAGS_address;
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    settings.name = FLAGS_name;
    settings.slots = FLAGS_slots;
    settings.speed = FLAGS_speed;
    settings.work_ms = FLAGS_work_ms;
    engine_settings own;
    own.token_ms = FLAGS_token_ms;
    own.block_ms = FLAGS_block_ms;
    own.cold_start_ms = FLAGS_cold_start_ms;
    own.cache_blocks = FLAGS_cache_blocks;
    own.models = absl::StrSplit(FLAGS_models, ',', absl::SkipEmpty());
    own.adapters = absl::StrSplit(FLAGS_adapters, ',', absl::SkipEmpty());
    engine server(settings, own);
    return serve(server, FLAGS_address);
}
