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

// Simulation of a full mesh of detectors over a fake network.
class detector_simulation
{
public:
    detector_simulation(std::uint64_t seed, std::size_t vms)
        : events(seed), network(events, vms), responding(vms, true)
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
                detectors[i].on_link_event(id, link_event::connected,
                                           events.now, out);
            tick(i);
        }
    }

    void run(int seconds)
    {
        events.run_until(events.now + std::chrono::seconds(seconds));
    }
    member_state state(std::size_t observer, std::size_t peer) const
    {
        return detectors[observer].state_of(vm_id{peer + 1});
    }

    event_queue events;
    fake_network network;
    std::vector<failure_detector> detectors;
    std::vector<bool> responding; //!< false: process is paused or dead
    std::size_t state_changes = 0;

private:
    void tick(std::size_t i)
    {
        if (responding[i])
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
            std::visit([this, i](auto const& effect) { apply(i, effect); }, it);
    }
    template <class Effect>
    void deliver(std::size_t i, Effect const& effect, bool ack)
    {
        auto const to = effect.to.value - 1;
        network.send(i, to,
                     [this, i, to, effect, ack]
                     {
                         if (!responding[to])
                             return;
                         detector_effects out;
                         auto& detector = detectors[to];
                         vm_id const from{i + 1};
                         if (ack)
                             detector.on_ack(from, effect.target,
                                             effect.sequence, events.now, out);
                         else
                             detector.on_ping(from, effect.target,
                                              effect.sequence, events.now, out);
                         perform(to, out);
                     });
    }
    void apply(std::size_t i, send_ping const& effect)
    {
        deliver(i, effect, false);
    }
    void apply(std::size_t i, send_ack const& effect)
    {
        deliver(i, effect, true);
    }
    void apply(std::size_t, peer_state_change const&) { ++state_changes; }
};

// Guards against a paused process that is declared dead, and against one that
// stays paused after it responds again.
TEST(failure_detector, distinguishes_paused_from_dead_and_recovers)
{
    detector_simulation simulation(1, 4);
    simulation.run(5);
    EXPECT_EQ(simulation.state_changes, 0U);
    simulation.responding[1] = simulation.responding[2] = false;
    detector_effects out;
    simulation.detectors[0].on_link_event(vm_id{3}, link_event::reset,
                                          simulation.events.now, out);
    simulation.detectors[0].on_link_event(vm_id{3}, link_event::refused,
                                          simulation.events.now, out);
    EXPECT_EQ(simulation.state(0, 2), member_state::suspect);
    simulation.detectors[0].on_link_event(vm_id{3}, link_event::refused,
                                          simulation.events.now, out);
    EXPECT_EQ(simulation.state(0, 2), member_state::dead);
    EXPECT_EQ(simulation.detectors[0].reason_of(vm_id{3}),
              peer_state_reason::connection_refused);
    simulation.run(40);
    EXPECT_EQ(simulation.state(0, 1), member_state::paused);
    EXPECT_EQ(simulation.detectors[0].reason_of(vm_id{2}),
              peer_state_reason::open_but_silent);
    simulation.responding[1] = true;
    simulation.run(20);
    EXPECT_EQ(simulation.state(0, 1), member_state::live);
}

// Guards against a VM that declares all others dead after it was paused itself.
TEST(failure_detector, keeps_peers_live_after_its_own_pause)
{
    detector_simulation simulation(2, 8);
    simulation.run(3);
    simulation.responding[0] = false;
    simulation.run(20);
    simulation.responding[0] = true;
    simulation.run(3);
    for (std::size_t peer = 1; peer < 8; ++peer)
        EXPECT_EQ(simulation.state(0, peer), member_state::live);
}

// Guards against live VMs that are declared paused or dead under message loss,
// delay and duplication, and against unresponsive ones that are not detected.
TEST(failure_detector_schedules, keep_live_vms_and_detect_silent_ones)
{
    run_seeds(150,
              [](std::uint64_t seed)
              {
                  detector_simulation simulation(seed, 6);
                  simulation.network.loss = .05;
                  simulation.network.duplication = .1;
                  simulation.network.long_delay_probability = .05;
                  auto const silent = 1 + simulation.events.random_below(5);
                  simulation.run(10);
                  simulation.responding[silent] = false;
                  simulation.run(45);
                  for (std::size_t peer = 1; peer < 6; ++peer)
                  {
                      auto const state = simulation.state(0, peer);
                      if (peer == silent)
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
