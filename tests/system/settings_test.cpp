// Guards against a settings change that does not reach every VM, that is
// reverted, or that is accepted from two operators at once (invariant I7).
#include "support/await.hpp"
#include "support/fleet.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <thread>

namespace buckthornvale::tests
{

TEST(settings_change, reaches_every_vm_and_never_falls)
{
    fleet under_test(3);
    std::atomic<bool> done{false};
    std::thread revision_sampler(
        [&]
        {
            std::vector<std::uint64_t> highest_revisions(under_test.vms.size(),
                                                         0);
            while (!done)
            {
                for (std::size_t n = 0; n < highest_revisions.size(); ++n)
                {
                    auto const revision =
                        under_test.settings_revision(under_test.vms[n]);
                    EXPECT_GE(revision, highest_revisions[n])
                        << under_test.vms[n].name;
                    highest_revisions[n] =
                        std::max(highest_revisions[n], revision);
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        });
    for (int n = 0; n < 3; ++n)
        under_test.await_settings_revision(
            under_test.write_pool_settings("encoders"));

    // Two VMs are stopped before the write and resumed during the outage, so
    // they can only get the change from the third VM.
    under_test.vms[1].program->signal(SIGSTOP);
    under_test.vms[2].program->signal(SIGSTOP);
    auto const changed_revision = under_test.write_pool_settings("encoders");
    await("the change on one VM",
          [&]
          {
              return under_test.settings_revision(under_test.vms[0]) >=
                     changed_revision;
          });
    under_test.set_platform_faults({{"outage", true}});
    under_test.vms[1].program->signal(SIGCONT);
    under_test.vms[2].program->signal(SIGCONT);
    under_test.await_settings_revision(changed_revision);
    under_test.set_platform_faults({{"outage", false}});
    under_test.await_settings_revision(
        under_test.write_pool_settings("encoders"));
    done = true;
    revision_sampler.join();
}

TEST(racing_operators, one_wins_and_the_other_gets_a_conflict)
{
    fleet under_test(2);
    std::string const path = "settings/pipelines/raced";
    std::uint64_t version = 0;
    for (int round = 0; round < 10; ++round)
    {
        std::array<reply, 2> responses;
        run_concurrently(2, 2,
                         [&](std::size_t i)
                         {
                             auto const text =
                                 "deadline_ms = " + std::to_string(1000 + i) +
                                 "\n[[stages]]\nname = \"encode\"\n"
                                 "pool = \"encoders\"\n";
                             responses[i] =
                                 put_object(under_test.platform_address(), path,
                                            version, text);
                         });
        std::size_t const winner = responses[0].status == 200 ? 0 : 1;
        ASSERT_EQ(responses[winner].status, 200);
        ASSERT_EQ(responses[1 - winner].status, 412);
        version = responses[winner].body["version"];
        // The conflict response contains the version that the winner wrote.
        EXPECT_EQ(responses[1 - winner].body["version"], version);
        // Only the winner's deadline is in force: a request with a deadline of
        // 1001 ms is accepted only if the second operator won.
        under_test.await_settings_revision(version);
        for (auto const& it : under_test.vms)
        {
            auto const response =
                send_request(it.http_address(), "raced",
                             {{"input", round}, {"deadline_ms", 1001}});
            EXPECT_EQ(response.status, winner == 1 ? 200 : 400)
                << response.body;
        }
    }
}

} // namespace buckthornvale::tests
