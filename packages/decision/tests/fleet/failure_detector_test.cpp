#include "schedules/event_queue.hpp"
#include "schedules/fake_network.hpp"
#include <buckthornvale/decision/fleet/failure_detector.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace buckthornvale::decision::fleet
{
namespace
{

using namespace schedules;

// A full mesh of detectors over a fake network.
class detector_world
{
public:
    detector_world(std::uint64_t seed, std::size_t vms)
        : events(seed), network(events, vms), up(vms, true)
    {
        std::vector<vm_id> ids;
        for (std::size_t i = 0; i < vms; ++i)
            ids.push_back(vm_id{i + 1});
        for (std::size_t i = 0; i < vms; ++i)
        {
            detectors.emplace_back(ids[i], detector_settings{}, seed + i);
            detectors[i].set_peers(ids, events.now);
            detector_effects out;
            for (auto id : ids)
                detectors[i].link(id, link_event::connected, events.now, out);
            tick(i);
        }
    }

    void run(int seconds)
    {
        events.run_until(events.now + std::chrono::seconds(seconds));
    }
    member_state state(std::size_t at, std::size_t of) const
    {
        return detectors[at].state_of(vm_id{of + 1});
    }

    event_queue events;
    fake_network network;
    std::vector<failure_detector> detectors;
    std::vector<bool> up; //!< false: paused or dead
    std::size_t verdicts = 0;

private:
    void tick(std::size_t i)
    {
        if (up[i])
        {
            detector_effects out;
            detectors[i].tick(events.now, out);
            perform(i, out);
        }
        events.after(milliseconds(50), [this, i] { tick(i); });
    }
    void perform(std::size_t i, detector_effects const& out)
    {
        for (auto const& it : out)
            std::visit([this, i](auto const& effect) { does(i, effect); }, it);
    }
    template <class Effect>
    void deliver(std::size_t i, Effect const& effect, bool ack)
    {
        auto const to = effect.to.value - 1;
        network.send(i, to,
                     [this, i, to, effect, ack]
                     {
                         if (!up[to])
                             return;
                         detector_effects out;
                         auto& held = detectors[to];
                         vm_id const from{i + 1};
                         if (ack)
                             held.ack(from, effect.target, effect.sequence,
                                      events.now, out);
                         else
                             held.ping(from, effect.target, effect.sequence,
                                       events.now, out);
                         perform(to, out);
                     });
    }
    void does(std::size_t i, send_ping const& effect)
    {
        deliver(i, effect, false);
    }
    void does(std::size_t i, send_ack const& effect)
    {
        deliver(i, effect, true);
    }
    void does(std::size_t, peer_verdict const&) { ++verdicts; }
};

// Guards against a paused process taken for a dead one, and against one that
// stays paused after it responded again.
TEST(failure_detector, tells_paused_from_dead_and_takes_back)
{
    detector_world world(1, 4);
    world.run(5);
    EXPECT_EQ(world.verdicts, 0U);
    world.up[1] = world.up[2] = false;
    detector_effects out;
    world.detectors[0].link(vm_id{3}, link_event::reset, world.events.now, out);
    world.detectors[0].link(vm_id{3}, link_event::refused, world.events.now,
                            out);
    EXPECT_EQ(world.state(0, 2), member_state::suspect);
    world.detectors[0].link(vm_id{3}, link_event::refused, world.events.now,
                            out);
    EXPECT_EQ(world.state(0, 2), member_state::dead);
    EXPECT_EQ(world.detectors[0].reason_of(vm_id{3}),
              verdict_reason::connection_refused);
    world.run(40);
    EXPECT_EQ(world.state(0, 1), member_state::paused);
    EXPECT_EQ(world.detectors[0].reason_of(vm_id{2}),
              verdict_reason::open_but_silent);
    world.up[1] = true;
    world.run(20);
    EXPECT_EQ(world.state(0, 1), member_state::live);
}

// Guards against a VM that pauses itself and then takes all others for dead.
TEST(failure_detector, blames_itself_after_its_own_pause)
{
    detector_world world(2, 8);
    world.run(3);
    world.up[0] = false;
    world.run(20);
    world.up[0] = true;
    world.run(3);
    for (std::size_t of = 1; of < 8; ++of)
        EXPECT_EQ(world.state(0, of), member_state::live);
}

// Guards against live VMs that are given up under loss, delay and duplicates,
// and against silent ones that are never noticed.
TEST(failure_detector_schedules, keep_live_vms_and_notice_silent_ones)
{
    run_seeds(150,
              [](std::uint64_t seed)
              {
                  detector_world world(seed, 6);
                  world.network.loss = .05;
                  world.network.duplication = .1;
                  world.network.slow = .05;
                  auto const silent = 1 + world.events.below(5);
                  world.run(10);
                  world.up[silent] = false;
                  world.run(45);
                  for (std::size_t of = 1; of < 6; ++of)
                  {
                      auto const state = world.state(0, of);
                      if (of == silent)
                          EXPECT_EQ(state, member_state::paused) << seed;
                      else
                          EXPECT_TRUE(state == member_state::live ||
                                      state == member_state::suspect)
                              << seed;
                  }
              });
}

} // namespace
} // namespace buckthornvale::decision::fleet
