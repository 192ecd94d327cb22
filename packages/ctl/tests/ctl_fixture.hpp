#ifndef BUCKTHORNVALE_CTL_TESTS_CTL_FIXTURE_HPP
#define BUCKTHORNVALE_CTL_TESTS_CTL_FIXTURE_HPP

#include <buckthornvale/ctl/cli/command.hpp>

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <platform/memory_object_api.hpp>
#include <sstream>

namespace buckthornvale::ctl
{

//! Returns canned responses by address and target.
class fake_vm_client final : public vm_client
{
public:
    std::optional<std::string> get(std::string const& address,
                                   std::string const& target) override
    {
        std::lock_guard const lock(mutex_);
        auto const it = answers.find(address + target);
        return it == answers.end() ? std::nullopt : std::optional(it->second);
    }

    bool post(std::string const& address, std::string const& target) override
    {
        posts.push_back(address + target);
        return answers.count(address + "/v1/status") > 0;
    }

    std::map<std::string, std::string> answers;
    std::vector<std::string> posts;

private:
    std::mutex mutex_;
};

//! Runs commands against fakes, with a simulated clock.
struct ctl_test : testing::Test
{
    ctl_test()
    {
        flags.author = "mina";
        flags.interval = std::chrono::seconds(1);
        flags.timeout = std::chrono::seconds(3);
        add_vm("vm-1", "Hamilton");
        add_vm("vm-2", "Cambridge");
        auto const* info =
            testing::UnitTest::GetInstance()->current_test_info();
        folder = std::filesystem::temp_directory_path() /
                 (std::string("buckthornvale_") + info->name() + "_" +
                  std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
    }

    ~ctl_test() override { std::filesystem::remove_all(folder); }

    void add_vm(std::string const& id, std::string const& domain)
    {
        listed_vms.put({id, "entry", id + ":80", "", domain, "live"},
                       standins::platform::vm_list::clock::now());
    }

    //! Writes a file below the test's folder and returns its path.
    std::string write(std::string const& name, std::string const& text) const
    {
        auto const file = folder / name;
        std::filesystem::create_directories(file.parent_path());
        std::ofstream(file) << text;
        return file.string();
    }

    exit_code run(std::vector<std::string> const& words,
                  bool wants_help = false)
    {
        context ctx{
            api,
            vms,
            flags,
            out,
            err,
            [this] { return now_ms; },
            [this](decision::duration length)
            {
                using std::chrono::milliseconds;
                now_ms +=
                    std::chrono::duration_cast<milliseconds>(length).count();
                if (on_sleep)
                    on_sleep();
            }};
        return run_command(ctx, words, wants_help);
    }

    //! Returns and clears the output, with the test's folder replaced by DIR.
    std::string take_output()
    {
        auto text = out.str() + "--- standard error\n" + err.str();
        out.str("");
        err.str("");
        for (auto at = text.find(folder.string()); at != std::string::npos;
             at = text.find(folder.string()))
            text.replace(at, folder.string().size(), "DIR");
        return text;
    }

    //! Compares the text with a golden file. If BUCKTHORNVALE_UPDATE_GOLDEN is
    //! set, rewrites the file first.
    static void expect_golden(std::string const& name, std::string const& text)
    {
        auto const file = std::string(BUCKTHORNVALE_GOLDEN "/") + name;
        if (std::getenv("BUCKTHORNVALE_UPDATE_GOLDEN"))
            std::ofstream(file) << text;
        std::ifstream input(file);
        std::ostringstream golden;
        golden << input.rdbuf();
        EXPECT_EQ(golden.str(), text) << "golden file " << file;
    }

    std::string value(std::string const& path)
    {
        return objects.get(path)
            .value_or(standins::platform::stored_object{})
            .value;
    }

    standins::platform::object_store objects;
    standins::platform::fault_gate gate;
    standins::platform::vm_list listed_vms;
    standins::platform::memory_object_api api{objects, gate, listed_vms};
    fake_vm_client vms;
    options flags;
    std::ostringstream out;
    std::ostringstream err;
    std::int64_t now_ms = 1'764'800'000'000;
    std::function<void()> on_sleep;
    std::filesystem::path folder;
};

//! Valid settings of a small fleet, by file name.
inline std::map<std::string, std::string> const sample_settings = {
    {"settings/ranks.toml",
     "[urgent]\ntarget_ms = 500\nguaranteed_share = 0.5\nobjective = 0.999\n"
     "[standard]\ntarget_ms = 2000\nguaranteed_share = 0.3\n"
     "[background]\ntarget_ms = 60000\nobjective = 0.95\n"},
    {"settings/pools/lookup.toml",
     "kind = \"service\"\n[[runners]]\nname = \"lookup-1\"\n"
     "host = \"127.0.0.1\"\nport = 9101\nfailure_domain = \"Hamilton\"\n"},
    {"settings/pipelines/price.toml",
     "deadline_ms = 3000\n[[stages]]\nname = \"lookup\"\n"
     "pool = \"lookup\"\n"}};

} // namespace buckthornvale::ctl

#endif
