#include <buckthornvale/gateway/store/store_timing.hpp>

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <standins/fleet_platform/clock.hpp>
#include <standins/fleet_platform/slow_link.hpp>
#include <standins/fleet_platform/store_standin.hpp>
#include <string>
#include <vector>

namespace buckthornvale::gateway::store
{
namespace
{

using namespace std::chrono_literals;
using standins::fleet_platform::slow_link;
using standins::fleet_platform::steady_now;
using standins::fleet_platform::store_standin;

constexpr duration settle_time = 3s;

//! Slower than any machine takes between two turns of the loop. Time in which
//! the process was kept waiting does not count.
constexpr duration max_turn = 30ms;

platform::node_settings settings()
{
    platform::node_settings out;
    out.settle_time = settle_time;
    out.drain_timeout = 2s;
    out.manifest_apply_timeout = 2s;
    return out;
}

//! Time of a loop that is run in short turns.
class turn_clock
{
public:
    void turn(asio::io_context& loop)
    {
        auto const before = steady_now();
        loop.restart();
        loop.run_one_for(5ms);
        elapsed_ += std::min<duration>(steady_now() - before, max_turn);
    }

    duration elapsed() const { return elapsed_; }

private:
    duration elapsed_{};
};

//! A store whose connections fall silent at one moment, and a watcher that
//! follows it. A change is made at the same moment.
class silenced_store
{
public:
    silenced_store(asio::io_context& loop, char const* kind_name,
                   platform::object_kind kind, watch_timing timing,
                   duration silent_after)
        : silent_after_(silent_after), kind_name_(kind_name), standin_(loop),
          link_(loop, standin_.port(), bytes_per_s), client_(loop, steady_now),
          watcher_(loop, client_, "127.0.0.1:" + std::to_string(link_.port()),
                   kind, timing, {1s, 65'536}, steady_now, callbacks())
    {
        watcher_.start();
    }

    //! To be called often, with the time since the start.
    void advance(duration elapsed)
    {
        if (elapsed >= next_check_)
        {
            // As a process without requests does it.
            client_.check_times(std::exchange(checked_at_, steady_now()));
            next_check_ = elapsed + check_interval;
        }
        elapsed_ = elapsed;
        if (!first_written_ && elapsed >= start_time)
        {
            first_written_ = true;
            standin_.put(kind_name_, "first", {{"value", 1}});
        }
        if (first_seen_at_ && !lost_at_ &&
            elapsed >= *first_seen_at_ + silent_after_)
        {
            lost_at_ = elapsed;
            link_.silence_connections();
            standin_.put(kind_name_, "second", {{"value", 2}});
        }
        if (again_ && overdue_ && !lost_again_)
        {
            lost_again_ = true;
            lost_at_ = elapsed;
            link_.silence_connections();
        }
    }

    //! The second answer is lost as well.
    void lose_again() { again_ = true; }

    bool done() const { return second_seen_at_.has_value(); }

    //! From the last loss until the watcher has learned of the change.
    duration delay() const { return *second_seen_at_ - *lost_at_; }

    duration silent_after() const { return silent_after_; }

    bool called_unreachable() const { return unreachable_; }

private:
    static constexpr duration check_interval = 100ms;
    static constexpr duration start_time = 200ms;
    static constexpr double bytes_per_s = 1e8;

    store_watcher::callback_set callbacks()
    {
        store_watcher::callback_set out;
        out.updated = [this](object_update const& update)
        {
            for (auto const& it : update.objects)
                (it.name == "first" ? first_seen_at_ : second_seen_at_) =
                    elapsed_;
        };
        out.observe_era = [](std::optional<std::uint64_t>)
        { return era_order::current; };
        out.reachable = [this](bool reachable, std::string const&)
        { unreachable_ = unreachable_ || !reachable; };
        out.overdue = [this](duration) { overdue_ = true; };
        out.changes_skipped = [](std::uint64_t, std::size_t) {};
        return out;
    }

    duration const silent_after_;
    char const* kind_name_;
    store_standin standin_;
    slow_link link_;
    net::http_client client_;
    duration elapsed_{};
    duration next_check_{};
    time_point checked_at_ = steady_now();
    bool first_written_ = false;
    bool overdue_ = false;
    bool unreachable_ = false;
    bool again_ = false;
    bool lost_again_ = false;
    std::optional<duration> first_seen_at_;
    std::optional<duration> second_seen_at_;
    std::optional<duration> lost_at_;
    store_watcher watcher_;
};

struct watched_kind
{
    char const* name;
    platform::object_kind kind;
    watch_timing timing;
    duration bound; //!< from the loss until the change is known
};

std::vector<watched_kind> kinds()
{
    constexpr duration send_time = 200ms;
    constexpr duration member_bound = 4s;
    return {{"config", platform::object_kind::manifest,
             manifest_watch_timing(settings()), settle_time - send_time},
            {"servers", platform::object_kind::runners,
             runner_watch_timing(settings()), settle_time - send_time},
            {"members", platform::object_kind::members, member_watch_timing(),
             member_bound}};
}

void run_until_done(asio::io_context& loop,
                    std::vector<std::unique_ptr<silenced_store>>& stores)
{
    constexpr duration max_time = 30s;
    turn_clock clock;
    auto const is_done = [](auto const& it) { return it->done(); };
    while (clock.elapsed() < max_time &&
           !std::all_of(stores.begin(), stores.end(), is_done))
    {
        clock.turn(loop);
        for (auto const& it : stores)
            it->advance(clock.elapsed());
    }
    ASSERT_TRUE(std::all_of(stores.begin(), stores.end(), is_done));
}

// A version of the manifest whose answer was lost was in force up to 4.1 s
// later, and a drain was known 4.3 s later, by VMs that were in touch again
// after 3 s.
TEST(lost_answer, is_made_up_for_in_time_whenever_it_is_lost)
{
    constexpr int phases = 12;
    constexpr double max_phase_s = 2.5;
    asio::io_context loop;
    for (auto const& it : kinds())
    {
        pcg32 random(64);
        std::uniform_real_distribution<double> phase(0, max_phase_s);
        std::vector<std::unique_ptr<silenced_store>> stores;
        for (int n = 0; n < phases; ++n)
            stores.push_back(std::make_unique<silenced_store>(
                loop, it.name, it.kind, it.timing,
                decision::from_seconds(phase(random))));
        run_until_done(loop, stores);
        for (auto const& store : stores)
        {
            EXPECT_LE(store->delay(), it.bound)
                << it.name << " after "
                << decision::to_seconds(store->silent_after());
            EXPECT_FALSE(store->called_unreachable());
        }
    }
}

// The answer after a lost one can be lost as well. The time counts from then.
TEST(lost_answer, is_made_up_for_in_time_after_a_second_loss)
{
    asio::io_context loop;
    for (auto const& it : kinds())
    {
        std::vector<std::unique_ptr<silenced_store>> stores;
        for (duration const phase : {0ms, 700ms, 1900ms})
        {
            stores.push_back(std::make_unique<silenced_store>(
                loop, it.name, it.kind, it.timing, phase));
            stores.back()->lose_again();
        }
        run_until_done(loop, stores);
        for (auto const& store : stores)
            EXPECT_LE(store->delay(), it.bound)
                << it.name << " after "
                << decision::to_seconds(store->silent_after());
    }
}

} // namespace
} // namespace buckthornvale::gateway::store
