#include "fake_store.hpp"
#include <buckthornvale/decision/leases/lease_keeper.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::decision::leases
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against orders before the first-order delay of a new holder has
// passed, and against a fencing token that does not increase.
TEST(lease_keeper, takes_a_free_lease_and_waits_before_its_first_order)
{
    fake_store store(1);
    store.run(milliseconds(200)); // a read, then the write
    EXPECT_TRUE(store.vms[0].holds());
    EXPECT_FALSE(store.vms[0].may_send_orders(store.now));
    store.run(seconds(3));
    auto const first = store.vms[0].fencing_token(store.now);
    ASSERT_TRUE(first);
    store.run(seconds(60));
    EXPECT_GT(*store.vms[0].fencing_token(store.now), *first);
}

// Guards against two VMs that may send orders at the same time. The holder is
// paused again and again during a long run.
TEST(lease_keeper, never_lets_two_vms_order_at_once)
{
    fake_store store(3);
    for (int round = 0; round < 60; ++round)
    {
        for (std::size_t i = 0; i < 3; ++i)
            store.paused[i] = round % 4 != 0 && store.vms[i].holds();
        for (int i = 0; i < 50; ++i)
        {
            store.run(milliseconds(100));
            int ordering = 0;
            for (auto const& it : store.vms)
                ordering += it.may_send_orders(store.now) ? 1 : 0;
            EXPECT_LE(ordering, 1);
        }
    }
    EXPECT_GT(store.vms[0].lost_count() + store.vms[1].lost_count() +
                  store.vms[2].lost_count(),
              2U);
}

// Guards against a holder that resumes after a pause and sends orders although
// another VM may have acquired the lease.
TEST(lease_keeper, stops_a_holder_that_was_paused)
{
    fake_store store(1);
    store.run(seconds(3));
    ASSERT_TRUE(store.vms[0].may_send_orders(store.now));
    store.paused[0] = true;
    store.run(seconds(6));
    EXPECT_FALSE(store.vms[0].may_send_orders(store.now));
    store.paused[0] = false;
    store.run(seconds(1));
    EXPECT_TRUE(store.vms[0].may_send_orders(store.now));
}

// Guards against a successor that acquires the lease too early. It must observe
// the same version for the whole lease duration, and then wait for the
// first-order delay before it sends orders.
TEST(lease_keeper, makes_the_successor_wait)
{
    fake_store store(2);
    store.run(seconds(4));
    auto const holder = store.vms[0].holds() ? 0U : 1U;
    auto const other = 1 - holder;
    store.paused[holder] = true;
    auto const paused_at = store.now;
    while (!store.vms[other].holds())
        store.run(milliseconds(100));
    // The last renewal may have been up to 3 s before the pause.
    EXPECT_GE(store.now - paused_at, seconds(10 - 3));
    // The version is observed within 3 s and then unchanged for 10 s.
    EXPECT_LE(store.now - paused_at, seconds(14));
    auto const taken_at = store.now;
    while (!store.vms[other].may_send_orders(store.now))
        store.run(milliseconds(100));
    EXPECT_GE(store.now - taken_at, seconds(2) - milliseconds(100));
    store.paused[holder] = false;
    store.run(seconds(3));
    EXPECT_FALSE(store.vms[holder].holds());
    EXPECT_EQ(store.vms[holder].lost_count(), 1U);
}

// Guards against a holder that drops its lease, or holds it without knowing,
// because the answer to a write that was applied got lost.
TEST(lease_keeper, finds_its_own_write_after_a_lost_answer)
{
    fake_store store(2);
    store.run(seconds(4));
    auto const holder = store.vms[0].holds() ? 0U : 1U;
    for (int i = 0; i < 20; ++i)
    {
        store.lose_next_answer = true;
        store.run(seconds(3));
        EXPECT_TRUE(store.vms[holder].holds());
    }
    EXPECT_EQ(store.vms[holder].lost_count(), 0U);
    store.run(seconds(3));
    EXPECT_TRUE(store.vms[holder].may_send_orders(store.now));
}

// Guards against two VMs that both acquire a free lease in a race.
TEST(lease_keeper, lets_one_of_two_racers_win)
{
    fake_store store(2);
    std::vector<lease_effect> first;
    std::vector<lease_effect> second;
    for (int i = 0; i < 2; ++i)
    {
        store.vms[0].tick(store.now, first);
        store.vms[1].tick(store.now, second);
        for (auto const& it :
             {std::make_pair(0, &first), std::make_pair(1, &second)})
        {
            for (auto const& effect : *it.second)
                store.vms[std::size_t(it.first)].handle_answer(
                    store.apply(effect), store.now);
            it.second->clear();
        }
    }
    EXPECT_NE(store.vms[0].holds(), store.vms[1].holds());
}

// Guards against orders that continue beyond the order window during a store
// outage, and against a holder that does not resume after the outage.
TEST(lease_keeper, stops_its_orders_in_a_store_outage)
{
    fake_store store(1);
    store.run(seconds(4));
    store.outage = true;
    store.run(seconds(6));
    EXPECT_FALSE(store.vms[0].may_send_orders(store.now));
    store.outage = false;
    store.run(seconds(5));
    EXPECT_TRUE(store.vms[0].may_send_orders(store.now));
}

// Guards against a drained VM that keeps its lease until it expires, which
// leaves the pool without orders for the lease duration.
TEST(lease_keeper, hands_over_when_it_no_longer_wants_the_lease)
{
    fake_store store(2);
    store.run(seconds(4));
    auto const holder = store.vms[0].holds() ? 0U : 1U;
    store.vms[holder].set_wanted(false, store.now);
    EXPECT_FALSE(store.vms[holder].may_send_orders(store.now));
    store.run(seconds(16));
    EXPECT_TRUE(store.vms[1 - holder].may_send_orders(store.now));
}

// Guards against a number of lease calls that grows with the number of VMs.
TEST(is_candidate, chooses_the_same_few_vms_everywhere)
{
    std::vector<vm_id> live;
    for (std::uint64_t i = 1; i <= 330; ++i)
        live.push_back(vm_id{i});
    int candidates = 0;
    for (auto vm : live)
        candidates += is_candidate(vm, pool_id{5}, live, 3) ? 1 : 0;
    EXPECT_EQ(candidates, 3);
}

} // namespace
} // namespace buckthornvale::decision::leases
