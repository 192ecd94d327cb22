#include "schedules/event_queue.hpp"
#include "schedules/fake_network.hpp"
#include "schedules/fake_store.hpp"
#include <buckthornvale/decision/bookings/booking_table.hpp>

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthornvale::decision::bookings
{
namespace
{

using namespace schedules;

constexpr std::size_t vm_count = 4;
constexpr std::uint32_t key_count = 6;

booking_settings settings_of(std::size_t vm, std::uint64_t incarnation)
{
    booking_settings settings;
    settings.self = vm_id{vm + 1};
    settings.incarnation = incarnation;
    settings.shards = 2;
    settings.writes_per_second = 40.;
    settings.forward_timeout = milliseconds(200);
    settings.completion_delay = milliseconds(100);
    settings.retry_interval = milliseconds(200);
    settings.store_timeout = milliseconds(500);
    settings.max_unfinished_age = milliseconds(300);
    settings.backoff_last = milliseconds(400);
    return settings;
}

// Simulates a fleet of tables whose requests run bookings on a service that
// records each run.
class booking_simulation
{
public:
    explicit booking_simulation(std::uint64_t seed)
        : events_(seed), store_(events_), network_(events_, vm_count),
          vms_(vm_count)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            start(i);
            tick(i);
        }
    }

    void run()
    {
        for (int i = 0; i < 40; ++i)
            events_.after(events_.random_delay(0, 5000), [this] { call(); });
        for (int i = 0; i < 14; ++i)
            events_.after(events_.random_delay(0, 5000),
                          [this] { inject_fault(); });
        events_.run_until(time_point(milliseconds(6000)));
        clear_faults();
        events_.run_until(time_point(milliseconds(14000)));
        check_settled();
    }

private:
    struct vm
    {
        std::unique_ptr<booking_table> table;
        std::uint64_t incarnation = 0;
        bool paused = false;
        std::vector<std::function<void()>>
            deferred; //!< events that arrived during the pause
    };

    struct request_state
    {
        std::uint32_t key = 0;
        std::size_t vm = 0;
        bool query = false;
        int answers = 0;
        bool ran = false;
        bool not_run = false;
    };

    wall_time wall() const
    {
        return wall_time(std::chrono::hours(480000)) +
               std::chrono::duration_cast<milliseconds>(
                   events_.now.time_since_epoch());
    }

    void start(std::size_t i)
    {
        auto& node = vms_[i];
        node.incarnation = ++incarnations_;
        node.paused = false;
        node.deferred.clear();
        node.table = std::make_unique<booking_table>(
            settings_of(i, node.incarnation), incarnations_);
        publish_live_list();
    }

    // Each VM receives the list after its own delay.
    void publish_live_list()
    {
        std::vector<live_vm> live;
        for (std::size_t i = 0; i < vm_count; ++i)
            live.push_back({vm_id{i + 1}, vms_[i].incarnation});
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            auto view = live;
            // A list without one of the VMs leads to a different committer.
            auto const missing = events_.random_below(vm_count);
            if (missing != i && events_.chance(.3))
                view.erase(view.begin() + missing);
            on(i, events_.random_delay(0, 1000),
               [view](booking_table& table) { table.set_live_vms(view); });
        }
    }

    // Runs an event on a VM's current process, after its pause if it is paused.
    void on(std::size_t i, duration wait,
            std::function<void(booking_table&)> const& event)
    {
        auto const incarnation = vms_[i].incarnation;
        events_.after(wait, [this, i, incarnation, event]
                      { deliver(i, incarnation, event); });
    }
    void deliver(std::size_t i, std::uint64_t incarnation,
                 std::function<void(booking_table&)> const& event)
    {
        auto& node = vms_[i];
        if (node.incarnation != incarnation)
            return;
        if (node.paused)
        {
            node.deferred.push_back([this, i, incarnation, event]
                                    { deliver(i, incarnation, event); });
            return;
        }
        event(*node.table);
    }

    void tick(std::size_t i)
    {
        if (!vms_[i].paused)
        {
            booking_effects out;
            vms_[i].table->tick(events_.now, wall(), out);
            perform(i, out);
        }
        events_.after(milliseconds(40), [this, i] { tick(i); });
    }

    booking_key key_of(std::uint32_t key) const
    {
        return {organisation_id{1}, "key" + std::to_string(key),
                wall_time(std::chrono::hours(480000))};
    }

    void call()
    {
        auto const i = events_.random_below(vm_count);
        request_id const id{vms_[i].incarnation, ++requests_};
        auto& state = calls_[id];
        state.key = events_.random_below(key_count);
        state.vm = i;
        state.query = events_.chance(.15);
        claim_request request{key_of(state.key), digest128::of("body"), id,
                              events_.random_delay(100, 3000),
                              state.key % 2 == 0};
        // Some callers reuse a key for another body.
        if (!state.query && events_.chance(.1))
            request.body = digest128::of("other body");
        bool const query = state.query;
        on(i, duration{},
           [this, i, request, query](booking_table& table)
           {
               booking_effects out;
               if (query)
                   table.query(request, events_.now, wall(), out);
               else
                   table.claim(request, events_.now, wall(), out);
               perform(i, out);
           });
    }

    void inject_fault()
    {
        auto const i = events_.random_below(vm_count);
        switch (events_.random_below(8))
        {
        case 0:
            start(i);
            break;
        case 1:
            pause(i);
            break;
        case 2:
            store_.outage = true;
            events_.after(events_.random_delay(50, 1500),
                          [this] { store_.outage = false; });
            break;
        case 3:
            store_.lost_answer_probability = .4;
            store_.late_write_fraction = .5;
            break;
        case 4:
            store_.lost_answer_probability = 0.;
            break;
        case 5:
            network_.partition[i] = 1 - network_.partition[i];
            break;
        case 6:
            network_.loss = .2;
            network_.duplication = .2;
            network_.long_delay_probability = .3;
            break;
        default:
            publish_live_list();
        }
    }

    void pause(std::size_t i)
    {
        auto& node = vms_[i];
        if (std::exchange(node.paused, true))
            return;
        auto const incarnation = node.incarnation;
        events_.after(events_.random_delay(10, 2500),
                      [this, i, incarnation]
                      {
                          if (vms_[i].incarnation == incarnation)
                              resume(i);
                      });
    }

    void resume(std::size_t i)
    {
        vms_[i].paused = false;
        auto const waiting = std::exchange(vms_[i].deferred, {});
        for (auto const& it : waiting)
            it();
    }

    void clear_faults()
    {
        store_.outage = false;
        store_.lost_answer_probability = 0.;
        network_.loss = network_.duplication = network_.long_delay_probability =
            0.;
        network_.partition.assign(vm_count, 0);
        for (std::size_t i = 0; i < vm_count; ++i)
            resume(i);
        publish_live_list();
    }

    void perform(std::size_t i, booking_effects const& out)
    {
        for (auto const& it : out)
            std::visit([this, i](auto const& effect) { handle(i, effect); },
                       it);
    }

    fake_store::reply reply_to(std::size_t i, store_token token)
    {
        auto const incarnation = vms_[i].incarnation;
        return [this, i, token, incarnation](store_answer answer)
        {
            answer.token = token;
            deliver(i, incarnation,
                    [this, i, answer](booking_table& table)
                    {
                        booking_effects out;
                        table.store_answer(answer, events_.now, wall(), out);
                        perform(i, out);
                    });
        };
    }
    void handle(std::size_t i, read_object const& effect)
    {
        store_.read(effect.path, reply_to(i, effect.token));
    }
    void handle(std::size_t i, write_object const& effect)
    {
        store_.write(effect.path, effect.expected_version, effect.value,
                     reply_to(i, effect.token));
    }
    void handle(std::size_t i, delete_object const& effect)
    {
        store_.erase(effect.path, effect.expected_version,
                     reply_to(i, effect.token));
    }
    void handle(std::size_t i, forward_update const& effect)
    {
        auto const to = effect.to.value - 1;
        auto const update = effect.update;
        network_.send(i, to,
                      [this, i, to, update]
                      {
                          on(to, duration{},
                             [this, i, to, update](booking_table& table)
                             {
                                 booking_effects out;
                                 table.handle_forwarded_update(
                                     vm_id{i + 1}, update, events_.now, wall(),
                                     out);
                                 perform(to, out);
                             });
                      });
    }
    void handle(std::size_t i, answer_peer const& effect)
    {
        auto const to = effect.to.value - 1;
        auto const answer = effect.answer;
        network_.send(i, to,
                      [this, i, to, answer]
                      {
                          on(to, duration{},
                             [this, i, to, answer](booking_table& table)
                             {
                                 booking_effects out;
                                 table.handle_forwarded_answer(
                                     vm_id{i + 1}, answer, events_.now, wall(),
                                     out);
                                 perform(to, out);
                             });
                      });
    }
    void handle(std::size_t i, query_service const& effect)
    {
        auto const id = effect.id;
        auto const key = effect.key.key;
        on(i, events_.random_delay(1, 100),
           [this, i, id, key](booking_table& table)
           {
               booking_effects out;
               auto const run = results_.find(key);
               std::optional<std::string> result;
               if (run != results_.end())
                   result = run->second;
               table.service_answer(id, result, events_.now, out);
               perform(i, out);
           });
    }

    request_state& answered(request_id id)
    {
        auto& state = calls_[id];
        EXPECT_EQ(++state.answers, 1) << "request answered twice";
        return state;
    }
    void handle(std::size_t i, claim_granted const& effect)
    {
        auto const id = effect.request;
        EXPECT_FALSE(answered(id).query);
        on(i, events_.random_delay(0, 300),
           [this, i, id](booking_table& table) { dispatch(i, id, table); });
    }
    void handle(std::size_t, claim_duplicate const& effect)
    {
        auto const& state = answered(effect.request);
        if (effect.state == claim_state::completed)
            check_result(state.key, effect.result);
    }
    void handle(std::size_t, claim_refused const& effect)
    {
        expect_not_run(answered(effect.request));
    }
    void handle(std::size_t, claim_unavailable const& effect)
    {
        expect_not_run(answered(effect.request));
    }
    void handle(std::size_t, claim_unsettled const& effect)
    {
        answered(effect.request);
    }
    void handle(std::size_t, claim_absent const& effect)
    {
        EXPECT_TRUE(answered(effect.request).query);
    }

    void expect_not_run(request_state& state)
    {
        state.not_run = true;
        EXPECT_FALSE(state.ran) << "not_run reported for a request that ran";
    }

    void check_result(std::uint32_t key, booking_result const& result)
    {
        auto const run = results_.find(key_of(key).key);
        ASSERT_NE(run, results_.end())
            << "result of a booking that did not run";
        EXPECT_EQ(result.bytes, run->second) << "different result for the key";
    }

    void dispatch(std::size_t i, request_id id, booking_table& table)
    {
        auto& state = calls_[id];
        booking_effects out;
        if (events_.chance(.1))
        {
            table.not_run(id, events_.now, out);
            expect_not_run(state);
        }
        else if (table.dispatched(id, events_.now, out))
        {
            auto const name = key_of(state.key).key;
            EXPECT_EQ(results_.count(name), 0U) << "ran twice: " << name;
            EXPECT_FALSE(state.not_run) << "ran after not_run was reported";
            state.ran = true;
            results_[name] = "run by " + std::to_string(id.counter);
            on(i, events_.random_delay(1, 400),
               [this, i, id](booking_table& target)
               { respond(i, id, target); });
        }
        perform(i, out);
    }

    void respond(std::size_t i, request_id id, booking_table& table)
    {
        booking_effects out;
        auto const result = results_[key_of(calls_[id].key).key];
        if (events_.chance(.2))
            table.outcome_lost(id, events_.now, out);
        else
            table.completed(id, result, events_.now, out);
        perform(i, out);
    }

    void check_settled()
    {
        for (std::size_t i = 0; i < vm_count; ++i)
            EXPECT_EQ(vms_[i].table->records(), 0U)
                << "unsettled records on VM " << i;
        for (auto const& it : calls_)
        {
            bool const crashed =
                vms_[it.second.vm].incarnation != it.first.incarnation;
            EXPECT_TRUE(crashed || it.second.answers == 1)
                << "request without an answer";
        }
    }

    event_queue events_;
    fake_store store_;
    fake_network network_;
    std::vector<vm> vms_;
    std::uint64_t incarnations_ = 0;
    std::uint64_t requests_ = 0;
    std::map<request_id, request_state> calls_;
    std::map<std::string, std::string>
        results_; //!< results of the bookings that ran, by key
};

// Guards against a booking that runs twice, a false not_run, duplicates with
// different results, and claims that are never settled, under any order of
// crashes, pauses, outages, lost answers and partitions.
TEST(booking_schedules, run_each_booking_at_most_once)
{
    run_seeds(2000, [](std::uint64_t seed) { booking_simulation(seed).run(); });
}

} // namespace
} // namespace buckthornvale::decision::bookings
