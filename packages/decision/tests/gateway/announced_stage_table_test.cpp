#include <buckthornvale/decision/gateway/announced_stage_table.hpp>

#include <gtest/gtest.h>

#include <set>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

class announced_stage_table_of_two_vms : public testing::Test
{
protected:
    announced_stage_table_of_two_vms()
    {
        stages.add(1, {"vm-a", 10, 4, {}, start + 1s});
        stages.add(2, {"vm-a", 11, 4, {}, start + 2s});
        stages.add(3, {"vm-b", 10, 4, {}, start + 3s});
    }

    std::set<std::uint64_t> keys() const
    {
        std::set<std::uint64_t> out;
        for (auto const& it : stages)
            out.insert(it.first);
        return out;
    }

    announced_stage_table stages;
};

// VMs number their requests alone, so equal numbers mean different requests.
TEST_F(announced_stage_table_of_two_vms, withdraws_requests_of_one_vm)
{
    stages.withdraw("vm-a", {10});
    EXPECT_EQ(keys(), (std::set<std::uint64_t>{2, 3}));
}

// Pieces of a VM that has lost its state are never submitted.
TEST_F(announced_stage_table_of_two_vms, withdraws_all_of_one_vm)
{
    stages.withdraw_all("vm-a");
    EXPECT_EQ(keys(), (std::set<std::uint64_t>{3}));
}

// A lost cancellation must not keep stages in the forecasts for ever.
TEST_F(announced_stage_table_of_two_vms, expires_stages_that_are_due)
{
    stages.expire(start + 2s);
    EXPECT_EQ(keys(), (std::set<std::uint64_t>{3}));
}

} // namespace
} // namespace buckthornvale::decision::gateway
