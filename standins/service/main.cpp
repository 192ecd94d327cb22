#include "common/program.hpp"
#include "common/service.hpp"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0: any free port");
DEFINE_string(name, "service", "name of the runner and stage in its outputs");
DEFINE_uint32(slots, 4, "calls that run at once");
DEFINE_double(speed, 1., "all work takes 1/speed of its time");
DEFINE_uint32(work_ms, 0, "time of a call at speed 1");
DEFINE_bool(answers_outcomes, true, "GET /v1/outcome is there");

int main(int argc, char** argv)
{
    using namespace buckthornvale::standins;
    gflags::SetUsageMessage("stand-in for a plain HTTP service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standin_settings settings;
    settings.address = FLAGS_address;
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    settings.name = FLAGS_name;
    settings.slots = FLAGS_slots;
    settings.speed = FLAGS_speed;
    settings.work_ms = FLAGS_work_ms;
    service server(settings, FLAGS_answers_outcomes);
    return serve(server, FLAGS_address);
}
