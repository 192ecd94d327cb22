#include "fixture.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::admission
{
namespace
{

//! VMs that exchange demand summaries once a second unless they are
//! partitioned.
class fleet
{
public:
    fleet(std::size_t n, organisation_limits const& limits)
    {
        for (std::size_t i = 0; i < n; ++i)
        {
            vms.emplace_back(admission_settings{}, 1e5, n);
            vms.back().controller.set_organisation(organisation("limited"),
                                                   limits);
        }
    }

    void exchange_summaries(double now, bool connected = true)
    {
        for (std::size_t from = 0; connected && from < vms.size(); ++from)
        {
            auto const summary = vms[from].controller.local_demand(at(now));
            for (std::size_t to = 0; to < vms.size(); ++to)
            {
                if (to != from)
                    vms[to].controller.update_peer_demand(vm_id{from + 1},
                                                          summary, at(now));
            }
        }
    }

    //! Submits rate[i] requests per second on VM i from `begin` to `end`;
    //! returns how many were admitted.
    int offer(std::vector<int> const& rate, double begin, double end,
              bool connected)
    {
        int admitted = 0;
        for (double now = begin; now < end; now += 1.0)
        {
            exchange_summaries(now, connected);
            for (int step = 0; step < 100; ++step)
            {
                auto const t = now + 0.01 * step;
                for (std::size_t i = 0; i < vms.size(); ++i)
                {
                    if (step * rate[i] / 100 == (step + 1) * rate[i] / 100)
                        continue;
                    auto const answer =
                        vms[i].admit(rank::standard, "limited", t);
                    if (answer.outcome == admission_outcome::refused)
                        continue;
                    ++admitted;
                    vms[i].finish(vms[i].last_request, t);
                }
            }
        }
        return admitted;
    }

    std::vector<vm_fixture> vms;
};

// Guards against a limit that applies per VM instead of to the fleet, and
// against one that blocks an organisation whose requests all arrive at one VM.
TEST(organisation_limiter,
     enforces_a_rate_limit_over_the_fleet_wherever_demand_arrives)
{
    for (auto const& rate :
         {std::vector<int>(7, 40), std::vector<int>{280, 0, 0, 0, 0, 0, 0}})
    {
        fleet it(7, {1.0, 70.0, 0});
        it.offer(rate, 0.0, 6.0, true);
        auto const admitted = it.offer(rate, 6.0, 16.0, true);
        EXPECT_LE(admitted, 770);
        EXPECT_GE(admitted, 620);
    }
}

// Guards against VMs that each apply the whole limit when they receive no more
// summaries from each other.
TEST(organisation_limiter,
     falls_back_to_the_safe_share_when_summaries_are_stale)
{
    fleet it(7, {1.0, 70.0, 0});
    std::vector<int> const one_vm_only{280, 0, 0, 0, 0, 0, 0};
    it.offer(one_vm_only, 0.0, 4.0, true);
    it.offer(one_vm_only, 4.0, 8.0, false);
    auto const alone = it.offer(one_vm_only, 8.0, 18.0, false);
    EXPECT_LE(alone, 110);
    EXPECT_GE(alone, 90);
    auto const all = it.offer(std::vector<int>(7, 40), 18.0, 28.0, false);
    EXPECT_LE(all, 800);
}

// Guards against exceeding the limit, when demand moves from one VM to all, by
// more than the demand of two summary periods.
TEST(organisation_limiter, exceeds_a_rate_by_two_periods_of_demand_at_most)
{
    constexpr double limit = 70.0;
    constexpr double demand = 280.0;
    fleet it(7, {1.0, limit, 0});
    it.offer({280, 0, 0, 0, 0, 0, 0}, 0.0, 6.0, true);
    double admitted = 0.0;
    for (int second = 0; second < 10; ++second)
    {
        admitted +=
            it.offer(std::vector<int>(7, 40), 6.0 + second, 7.0 + second, true);
        EXPECT_LE(admitted, limit * (second + 1) + 2.0 * demand) << second;
    }
    EXPECT_LE(it.offer(std::vector<int>(7, 40), 16.0, 26.0, true),
              1.1 * 10.0 * limit);
}

// Guards against two sides of a partition that each apply the whole limit as
// soon as the other side is no longer in the list of live VMs.
TEST(organisation_limiter, remembers_the_largest_fleet_for_ten_minutes)
{
    fleet it(2, {1.0, 100.0, 0});
    it.vms[0].controller.set_fleet_size(1, at(1.0));
    it.offer({200, 0}, 2.0, 4.0, false);
    EXPECT_LE(it.offer({200, 0}, 4.0, 14.0, false), 510);
    it.offer({200, 0}, 700.0, 703.0, false);
    EXPECT_GE(it.offer({200, 0}, 703.0, 713.0, false), 950);
}

// Guards against a concurrency limit that applies per VM instead of to the
// fleet.
TEST(organisation_limiter, enforces_a_concurrency_limit_over_the_fleet)
{
    fleet it(7, {1.0, 0.0, 21});
    int in_flight = 0;
    for (int round = 0; round < 6; ++round)
    {
        it.exchange_summaries(round);
        for (auto& vm : it.vms)
            in_flight +=
                vm.offer_requests(2, rank::standard, "limited", round + 0.5);
    }
    EXPECT_LE(in_flight, 21 + 7);
    EXPECT_GE(in_flight, 14);
    EXPECT_EQ(it.vms[0].admit(rank::standard, "limited", 6.0).reason,
              error_kind::too_many_concurrent);
}

} // namespace
} // namespace buckthornvale::decision::admission
