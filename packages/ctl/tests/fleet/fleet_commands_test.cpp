#include "ctl_fixture.hpp"

namespace buckthornvale::ctl
{
namespace
{

std::string status(int revision, int in_flight)
{
    return "{\"settings_revision\":" + std::to_string(revision) +
           ",\"ready\":true,\"in_flight\":" + std::to_string(in_flight) + "}";
}

using wait_test = ctl_test;
using drain_test = ctl_test;
using status_test = ctl_test;
using usage_test = ctl_test;

// Guards against a wait that ends before the last VM has the settings. One VM
// responds; the status of the other is known only from its stored object.
TEST_F(wait_test, ends_when_the_last_vm_has_the_revision)
{
    vms.answers["vm-1:80/v1/status"] = status(7, 0);
    objects.put("status/vm-2", 0, status(6, 0));
    on_sleep = [this] { objects.put("status/vm-2", 1, status(7, 0)); };
    EXPECT_EQ(run({"wait", "7"}), exit_code::success);
    EXPECT_EQ(take_output(),
              "2 of 2 VMs have revision 7 in force\n--- standard error\n"
              "1 of 2 VMs have revision 7 in force; waiting for vm-2 (6)\n");
}

// Guards against a wait that ignores the time limit.
TEST_F(wait_test, gives_up_after_the_time_limit)
{
    vms.answers["vm-1:80/v1/status"] = status(7, 0);
    int sleeps = 0;
    on_sleep = [&] { ++sleeps; };
    EXPECT_EQ(run({"wait", "7"}), exit_code::timed_out);
    EXPECT_EQ(sleeps, 3);
    EXPECT_NE(take_output().find("vm-2 (no status)"), std::string::npos);
    EXPECT_EQ(run({"wait", "soon"}), exit_code::usage);
}

// Guards against a drain that is reported as complete while requests are in
// flight.
TEST_F(drain_test, waits_until_nothing_is_in_flight)
{
    vms.answers["vm-1:80/v1/status"] = status(7, 2);
    on_sleep = [this] { vms.answers["vm-1:80/v1/status"] = status(7, 0); };
    flags.waits = true;
    EXPECT_EQ(run({"drain", "vm-1"}), exit_code::success);
    EXPECT_EQ(vms.posts, (std::vector<std::string>{"vm-1:80/v1/drain"}));
    EXPECT_EQ(take_output(),
              "vm-1 is draining\n--- standard error\n"
              "vm-1 has 2 requests in flight\nvm-1 is drained\n");
    EXPECT_EQ(run({"drain", "vm-9"}), exit_code::not_found);
    EXPECT_EQ(run({"drain", "vm-2"}), exit_code::unavailable);
}

// Guards against a VM or runner that is missing from the output.
TEST_F(status_test, matches_the_golden_file)
{
    for (auto const& [name, text] : sample_settings)
        objects.put(name.substr(0, name.size() - 5), 0, text);
    listed_vms.put({"lookup-1", "runner", "", "", "", "leaving"},
                   standins::platform::vm_list::clock::now());
    vms.answers["vm-1:80/v1/status"] = status(3, 12);
    vms.answers["127.0.0.1:9101/v1/load"] = R"({"running":2,"queued":5})";
    flags.reads_loads = true;
    EXPECT_EQ(run({"status"}), exit_code::success);
    auto text = take_output();
    flags.is_json = true;
    EXPECT_EQ(run({"status"}), exit_code::success);
    expect_golden("status.txt", text + take_output());
}

// Guards against a subcommand without help and an undocumented exit code.
TEST_F(usage_test, matches_the_golden_file)
{
    EXPECT_EQ(run({}, true), exit_code::success);
    for (auto const& it : all_commands())
    {
        std::string const name(it.name);
        auto const blank = name.find(' ');
        out << "==\n";
        EXPECT_EQ(
            blank == std::string::npos
                ? run({name}, true)
                : run({name.substr(0, blank), name.substr(blank + 1)}, true),
            exit_code::success);
    }
    expect_golden("help.txt", take_output());
    EXPECT_EQ(run({}), exit_code::usage);
    EXPECT_EQ(run({"aply"}), exit_code::usage);
    EXPECT_EQ(run({"get"}), exit_code::usage);
}

} // namespace
} // namespace buckthornvale::ctl
