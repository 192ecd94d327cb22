// Guards against new work for a runner that is being withdrawn (I5).

#include "support/fleet.hpp"

#include <chrono>
#include <thread>

namespace buckthornvale::tests
{

namespace
{

// The bound of I5 is 3 s.
constexpr std::chrono::seconds past_the_bound{4};

std::vector<std::uint64_t> totals(pool const& of)
{
    std::vector<std::uint64_t> counts;
    for (auto const& it : of.runners)
        counts.push_back(fleet::total(it));
    return counts;
}

} // namespace

TEST(leaving_runner, gets_no_new_execution_after_the_bound)
{
    fleet under_test(3, 4);
    auto& encoders = under_test.pools.at("encoders");
    auto const load = [&](std::size_t count)
    {
        generate_load(8, count,
                      [&](std::size_t i)
                      {
                          auto const told =
                              send_request(under_test.vms[i % 3].http(),
                                           "lookup", {{"input", i}});
                          EXPECT_EQ(told.outcome(), "completed") << told.body;
                      });
    };
    load(120);
    for (auto const n : totals(encoders))
        EXPECT_GT(n, 0U);

    // By settings, by the platform's list and by the load report.
    encoders.runners[0].leaving = true;
    under_test.put_pool("encoders");
    post(under_test.platform(), "/vms",
         {{"id", encoders.runners[1].name},
          {"role", "runner"},
          {"address", encoders.runners[1].address()},
          {"failure_domain", "south"},
          {"state", "leaving"}});
    fleet::faults(encoders.runners[2], {{"leaving", true}});
    std::this_thread::sleep_for(past_the_bound);
    auto const before = totals(encoders);
    load(120);
    auto const after = totals(encoders);
    for (std::size_t n = 0; n < 3; ++n)
        EXPECT_EQ(after[n], before[n]) << encoders.runners[n].name;
    EXPECT_GE(after[3], before[3] + 120);
}

} // namespace buckthornvale::tests
