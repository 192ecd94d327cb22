// Guards against new work being sent to a runner that is leaving (invariant
// I5).
#include "support/fleet.hpp"

#include <chrono>
#include <thread>

namespace buckthornvale::tests
{

namespace
{

// Invariant I5: at most 3 s after a runner is marked as leaving, it gets no new
// work.
constexpr std::chrono::seconds withdrawal_wait{4};

std::vector<std::uint64_t> execution_counts(pool const& target)
{
    std::vector<std::uint64_t> counts;
    for (auto const& it : target.runners)
        counts.push_back(fleet::total_executions(it));
    return counts;
}

} // namespace

TEST(leaving_runner, gets_no_new_execution_after_the_bound)
{
    fleet under_test(3, 4);
    auto& encoders = under_test.pools.at("encoders");
    auto const send_lookups = [&](std::size_t count)
    {
        run_concurrently(8, count,
                         [&](std::size_t i)
                         {
                             auto const response = send_request(
                                 under_test.vms[i % 3].http_address(), "lookup",
                                 {{"input", i}});
                             EXPECT_EQ(response.outcome(), "completed")
                                 << response.body;
                         });
    };
    send_lookups(120);
    for (auto const n : execution_counts(encoders))
        EXPECT_GT(n, 0U);

    // A runner can be marked as leaving in the pool settings, in the platform's
    // list of VMs or in its own load report.
    encoders.runners[0].leaving = true;
    under_test.write_pool_settings("encoders");
    post(under_test.platform_address(), "/vms",
         {{"id", encoders.runners[1].name},
          {"role", "runner"},
          {"address", encoders.runners[1].address()},
          {"failure_domain", "south"},
          {"state", "leaving"}});
    fleet::set_faults(encoders.runners[2], {{"leaving", true}});
    std::this_thread::sleep_for(withdrawal_wait);
    auto const before = execution_counts(encoders);
    send_lookups(120);
    auto const after = execution_counts(encoders);
    for (std::size_t n = 0; n < 3; ++n)
        EXPECT_EQ(after[n], before[n]) << encoders.runners[n].name;
    EXPECT_GE(after[3], before[3] + 120);
}

} // namespace buckthornvale::tests
