#include "schedules/event_queue.hpp"
#include "schedules/fake_network.hpp"
#include <buckthornvale/decision/config/settings_state.hpp>

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornvale::decision::config
{
namespace
{

using namespace schedules;

constexpr std::size_t vm_count = 4;
constexpr std::uint32_t path_count = 8;

// Fake store with lists, watches from a revision, compaction and outages.
class fake_settings_store
{
public:
    void change(std::string const& path, bool remove)
    {
        ++revision;
        settings_object const event{path, revision, remove,
                                    remove ? "" : std::to_string(revision)};
        log.push_back(event);
        if (remove)
            objects.erase(path);
        else
            objects[path] = event;
    }
    void compact() { compacted = revision, log.clear(); }

    std::map<std::string, settings_object> objects;
    std::vector<settings_object> log;
    std::uint64_t revision = 0;
    std::uint64_t compacted = 0;
    bool outage = false;
};

class settings_simulation
{
public:
    explicit settings_simulation(std::uint64_t seed)
        : events_(seed), network_(events_, vm_count), vms_(vm_count)
    {
        for (std::uint32_t i = 0; i < path_count; ++i)
            change();
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            events_.after(events_.random_delay(0, 2000),
                          [this, i]
                          {
                              start(i);
                              tick(i);
                          });
        }
    }

    void run()
    {
        for (int i = 0; i < 40; ++i)
            events_.after(events_.random_delay(0, 8000), [this] { change(); });
        for (int i = 0; i < 14; ++i)
            events_.after(events_.random_delay(0, 8000),
                          [this] { inject_fault(); });
        events_.run_until(time_point(milliseconds(9000)));
        store_.outage = false;
        network_.loss = network_.duplication = network_.long_delay_probability =
            0.;
        network_.partition.assign(vm_count, 0);
        events_.run_until(time_point(milliseconds(20000)));
        for (auto const& it : vms_)
            check_converged(*it.state);
        // While the store is available, a change is applied within 2 s (I7).
        change();
        events_.run_until(time_point(milliseconds(22000)));
        for (auto const& it : vms_)
            check_converged(*it.state);
    }

private:
    struct vm
    {
        std::unique_ptr<settings_state> state;
        int process = 0;
        std::map<std::string, std::uint64_t> seen; //!< versions in force
        std::uint64_t revision = 0;
    };

    using event = std::function<void(settings_state&, config_effects&)>;

    void start(std::size_t i)
    {
        config_settings settings;
        settings.watch_timeout = milliseconds(1000);
        settings.call_grace = milliseconds(500);
        settings.backoff_last = milliseconds(1000);
        settings.max_page_items = 3;
        settings.max_push_bytes = 60;
        settings.max_tombstones = 3;
        settings.pull_timeout = milliseconds(500);
        auto& node = vms_[i];
        ++node.process;
        node.seen.clear();
        node.revision = 0;
        node.state =
            std::make_unique<settings_state>(settings, events_.random());
        std::vector<vm_id> peers;
        for (std::size_t other = 0; other < vm_count; ++other)
        {
            if (other != i)
                peers.push_back(vm_id{other + 1});
        }
        node.state->set_peers(peers, events_.now);
    }

    void on(std::size_t i, int process, event const& change)
    {
        auto& node = vms_[i];
        if (!node.state || node.process != process)
            return;
        config_effects out;
        change(*node.state, out);
        check_no_revert(node);
        for (auto const& it : out)
            std::visit([this, i](auto const& effect) { handle(i, effect); },
                       it);
    }
    void tick(std::size_t i)
    {
        on(i, vms_[i].process,
           [this](settings_state& state, config_effects& out)
           { state.tick(events_.now, out); });
        events_.after(milliseconds(40), [this, i] { tick(i); });
    }

    // Checks that no revision and no version of a path has decreased.
    static void check_no_revert(vm& node)
    {
        EXPECT_GE(node.state->revision(), node.revision) << "revision reverted";
        node.revision = node.state->revision();
        for (std::uint32_t i = 0; i < path_count; ++i)
        {
            auto const path = path_of(i);
            auto const version = node.state->version_of(path);
            // A discarded tombstone has no version, which is not a revert.
            if (version == 0)
                continue;
            EXPECT_GE(version, node.seen[path]) << "version reverted: " << path;
            node.seen[path] = version;
        }
        if (node.state->ready())
        {
            EXPECT_GE(node.state->revision(), node.state->highest_reported());
        }
    }

    void check_converged(settings_state const& state) const
    {
        EXPECT_TRUE(state.ready());
        EXPECT_EQ(state.revision(), store_.revision);
        EXPECT_EQ(state.live_objects(), store_.objects.size());
        for (auto const& it : store_.objects)
        {
            auto const* object = state.find(it.first);
            ASSERT_NE(object, nullptr) << "missing object: " << it.first;
            EXPECT_EQ(object->value, it.second.value);
        }
    }

    static std::string path_of(std::uint32_t i)
    {
        return "settings/" + std::to_string(i);
    }
    void change()
    {
        store_.change(path_of(events_.random_below(path_count)),
                      events_.chance(.3));
    }
    void inject_fault()
    {
        auto const i = events_.random_below(vm_count);
        switch (events_.random_below(6))
        {
        case 0:
            if (vms_[i].state)
                start(i);
            break;
        case 1:
            store_.outage = !store_.outage;
            break;
        case 2:
            store_.compact();
            break;
        case 3:
            network_.partition[i] = 1 - network_.partition[i];
            break;
        case 4:
            network_.loss = .2;
            network_.duplication = .2;
            network_.long_delay_probability = .3;
            break;
        default:
            network_.loss = 0.;
        }
    }

    void answer(std::size_t i, int least, int most, event const& reply)
    {
        auto const process = vms_[i].process;
        events_.after(events_.random_delay(least, most),
                      [this, i, process, reply] { on(i, process, reply); });
    }
    void fail(std::size_t i, call_token token)
    {
        answer(i, 1, 10,
               [this, token](settings_state& state, config_effects& out)
               { state.store_failed(token, events_.now, out); });
    }

    void handle(std::size_t i, list_objects const& effect)
    {
        if (store_.outage)
        {
            fail(i, effect.token);
            return;
        }
        list_answer page{effect.token, {}, {}, store_.revision};
        for (auto it = store_.objects.upper_bound(effect.after);
             it != store_.objects.end(); ++it)
        {
            if (page.items.size() == effect.limit)
            {
                page.next = page.items.back().path;
                break;
            }
            page.items.push_back(it->second);
        }
        answer(i, 1, 30,
               [this, page](settings_state& state, config_effects& out)
               { state.list_page(page, events_.now, out); });
    }
    void handle(std::size_t i, watch_objects const& effect)
    {
        poll(i, vms_[i].process, effect, events_.now + effect.timeout);
    }
    void poll(std::size_t i, int process, watch_objects const& effect,
              time_point end)
    {
        if (store_.outage)
        {
            fail(i, effect.token);
            return;
        }
        if (effect.from < store_.compacted)
        {
            answer(i, 1, 10,
                   [this, effect](settings_state& state, config_effects& out)
                   { state.watch_gap(effect.token, events_.now, out); });
            return;
        }
        watch_answer batch{effect.token, {}, store_.revision};
        for (auto const& it : store_.log)
        {
            if (it.version > effect.from)
                batch.events.push_back(it);
        }
        if (batch.events.empty() && events_.now < end)
        {
            events_.after(milliseconds(20), [this, i, process, effect, end]
                          { poll(i, process, effect, end); });
            return;
        }
        if (vms_[i].process == process)
            answer(i, 1, 10,
                   [this, batch](settings_state& state, config_effects& out)
                   { state.watch_batch(batch, events_.now, out); });
    }

    void send(std::size_t from, std::size_t to, event const& deliver)
    {
        network_.send(from, to,
                      [this, to, deliver]
                      { on(to, vms_[to].process, deliver); });
    }
    void handle(std::size_t i, announce_settings const& effect)
    {
        for (std::size_t to = 0; to < vm_count; ++to)
        {
            if (to != i)
                send(i, to,
                     [this, i, effect](settings_state& state,
                                       config_effects& out) {
                         state.handle_announcement(vm_id{i + 1}, effect.message,
                                                   events_.now, out);
                     });
        }
    }
    void handle(std::size_t i, pull_settings const& effect)
    {
        send(i, effect.to.value - 1,
             [this, i, effect](settings_state& state, config_effects& out) {
                 state.handle_pull(vm_id{i + 1}, effect.message, events_.now,
                                   out);
             });
    }
    void handle(std::size_t i, push_settings const& effect)
    {
        send(i, effect.to.value - 1,
             [this, i, effect](settings_state& state, config_effects& out) {
                 state.handle_push(vm_id{i + 1}, effect.message, events_.now,
                                   out);
             });
    }
    void handle(std::size_t i, settings_changed const& effect)
    {
        EXPECT_FALSE(effect.paths.empty());
        EXPECT_LE(effect.revision, vms_[i].state->revision());
    }

    event_queue events_;
    fake_settings_store store_;
    fake_network network_;
    std::vector<vm> vms_;
};

// Guards against settings that revert to an older version, deletes that are
// undone by an outdated copy from a peer, VMs that stay behind after a gap, an
// outage or a partition, and a VM that is ready below a revision that was
// reported to it.
TEST(settings_schedules, never_revert_and_converge)
{
    run_seeds(1000,
              [](std::uint64_t seed) { settings_simulation(seed).run(); });
}

} // namespace
} // namespace buckthornvale::decision::config
