#include <buckthornvale/ctl/cli/command.hpp>
#include <buckthornvale/objects/objects/http_object_api.hpp>

#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <thread>

DEFINE_string(platform, "127.0.0.1:9000", "IP:PORT of the platform's API");
DEFINE_string(operator_key_file, "",
              "file with the operator's bearer key, for VMs that ask for one");
DEFINE_string(output, "text", "text or json");
DEFINE_string(author, "", "name for the history; default: $USER");
DEFINE_string(settings, "", "folder with settings, instead of the store");
DEFINE_double(timeout_s, 30., "time limit of waits, seconds");
DEFINE_double(interval_s, 1., "time between polls or samples, seconds");
DEFINE_bool(prune, false, "remove stored settings that have no file");
DEFINE_bool(wait, false, "wait until the command has taken effect");
DEFINE_bool(loads, false, "ask each runner for its load");
DEFINE_string(record, "", "file that samples are added to");
DEFINE_string(from, "", "file of earlier samples");
DEFINE_uint32(samples, 1, "samples to take");
DEFINE_uint32(top, 10, "organisations to list");
DEFINE_string(html, "", "page to write");
DEFINE_bool(rules, false, "print alert rules only");
DECLARE_bool(help);

namespace
{

using namespace buckthornvale;

ctl::options read_flags()
{
    ctl::options flags;
    flags.is_json = FLAGS_output == "json";
    flags.author = FLAGS_author;
    // Called before any thread starts.
    auto const* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    if (flags.author.empty() && user)
        flags.author = user;
    flags.settings_folder = FLAGS_settings;
    flags.timeout = decision::from_seconds(FLAGS_timeout_s);
    flags.interval = decision::from_seconds(FLAGS_interval_s);
    flags.prunes = FLAGS_prune;
    flags.waits = FLAGS_wait;
    flags.reads_loads = FLAGS_loads;
    flags.record_file = FLAGS_record;
    flags.from_file = FLAGS_from;
    flags.samples = FLAGS_samples;
    flags.max_organisations = FLAGS_top;
    flags.html_file = FLAGS_html;
    flags.prints_rules = FLAGS_rules;
    return flags;
}

// Returns an empty key if no file is given. Exits with a usage error if the
// file has no readable key.
std::string read_operator_key()
{
    if (FLAGS_operator_key_file.empty())
        return {};
    std::ifstream file(FLAGS_operator_key_file);
    std::string key;
    if (!std::getline(file, key) || key.empty())
    {
        std::cerr << "cannot read a key from " << FLAGS_operator_key_file
                  << "; name a file whose first line is the key\n";
        std::exit(static_cast<int>(ctl::exit_code::usage));
    }
    return key;
}

std::int64_t wall_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
        .count();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "command-line tool for the operators of buckthornvale");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    std::vector<std::string> const words(argv + 1, argv + argc);
    bool const is_output_known =
        FLAGS_output == "text" || FLAGS_output == "json";
    if (!is_output_known || FLAGS_interval_s <= 0.)
    {
        std::cerr << "--output must be text or json, and --interval_s must be "
                     "greater than 0\n";
        return static_cast<int>(ctl::exit_code::usage);
    }
    auto const flags = read_flags();
    objects::http_object_api store(FLAGS_platform);
    ctl::http_vm_client vms(read_operator_key());
    ctl::context ctx{store,
                     vms,
                     flags,
                     std::cout,
                     std::cerr,
                     &wall_ms,
                     [](decision::duration length)
                     { std::this_thread::sleep_for(length); }};
    try
    {
        return static_cast<int>(ctl::run_command(ctx, words, FLAGS_help));
    }
    catch (std::exception const& error)
    {
        std::cerr << "unexpected error: " << error.what()
                  << "; please report it with the command line\n";
        return static_cast<int>(ctl::exit_code::internal);
    }
}
