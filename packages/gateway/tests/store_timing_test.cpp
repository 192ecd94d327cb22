#include <buckthornvale/gateway/store/store_timing.hpp>

#include <gtest/gtest.h>

namespace buckthornvale::gateway::store
{
namespace
{

using namespace std::chrono_literals;

platform::node_settings settings_of(duration drain, duration apply)
{
    platform::node_settings out;
    out.settle_time = 3s;
    out.drain_timeout = drain;
    out.manifest_apply_timeout = apply;
    return out;
}

// A VM that learned of a drain too late sent requests to the runner after the
// drain timeout.
TEST(store_timing, leaves_time_for_requests_on_their_way_to_a_draining_runner)
{
    constexpr duration store_answer = 200ms;
    constexpr duration send_delay = 400ms;
    for (duration const drain : {2s, 3s, 4s, 30s})
    {
        auto const timing = runner_watch_timing(settings_of(drain, 2s));
        EXPECT_LE(timing.pause + store_answer + send_delay, drain * 9 / 10);
        EXPECT_LE(timing.pause_after_outage, timing.pause);
    }
}

// Each VM watches for itself, so calls to the store were the largest cost of
// control in large fleets, whose bounds are wider too.
TEST(store_timing, calls_the_store_less_often_where_the_bounds_allow_it)
{
    auto const calls_per_s = [](duration drain, duration apply)
    {
        auto const settings = settings_of(drain, apply);
        // Runners change all the time, manifests seldom.
        return 1 / decision::to_seconds(runner_watch_timing(settings).pause) +
               1 / decision::to_seconds(
                       manifest_watch_timing(settings).max_wait);
    };
    EXPECT_LE(calls_per_s(2s, 2s), 1.4);
    EXPECT_LE(calls_per_s(4s, 4s), 0.7);
}

// One lost answer of the store was noticed after up to 9.5 s. Meanwhile the VM
// obeyed no drain and no manifest, although it was in step with the store by
// all that its operators could see.
TEST(store_timing, notices_a_lost_answer_within_the_bounds)
{
    constexpr duration retry = 200ms;
    constexpr duration send_delay = 400ms;
    for (duration const bound : {1s, 2s, 3s, 4s, 30s})
    {
        auto settings = settings_of(bound, bound);
        settings.evacuation_timeout = bound;
        for (auto const& timing :
             {runner_watch_timing(settings), manifest_watch_timing(settings),
              evacuation_watch_timing(settings)})
            EXPECT_LE(timing.pause + timing.max_wait + watch_timeout_margin +
                          retry + send_delay,
                      settings.settle_time + bound);
    }
}

// The bound of an evacuation counts for a VM in touch with the store whatever
// answer was lost before; the settle time does not put it off.
TEST(store_timing, notices_a_lost_evacuation_within_the_bound_alone)
{
    constexpr duration retry = 200ms;
    constexpr duration send_delay = 400ms;
    for (duration const bound : {3s, 5s, 30s})
    {
        auto settings = settings_of(2s, 2s);
        settings.evacuation_timeout = bound;
        auto const timing = evacuation_watch_timing(settings);
        EXPECT_LE(timing.pause + timing.max_wait + watch_timeout_margin +
                      retry + send_delay,
                  bound);
    }
}

// On a slow link, the largest manifest is still on its way for a while after
// the loss was noticed.
TEST(store_timing, leaves_time_for_the_largest_manifest_on_a_slow_link)
{
    constexpr duration retry = 200ms;
    constexpr duration time_on_link = 800ms;
    for (duration const bound : {1s, 2s, 3s})
    {
        auto settings = settings_of(2s, bound);
        settings.settle_time = 2s;
        settings.link_mbps = 10;
        settings.max_store_value_bytes = 1'000'000;
        auto const timing = manifest_watch_timing(settings);
        EXPECT_LE(timing.pause + timing.max_wait + watch_timeout_margin +
                      retry + time_on_link,
                  settings.settle_time + bound);
    }
}

// A manifest that is missed because a connection went silent must not stay
// missed for long.
TEST(store_timing, notices_a_silent_store_soon)
{
    EXPECT_EQ(manifest_watch_timing(settings_of(2s, 2s)).max_wait, 3s);
    EXPECT_EQ(manifest_watch_timing(settings_of(2s, 0s)).max_wait, 1s);
    EXPECT_EQ(manifest_watch_timing(settings_of(2s, 1h)).max_wait, 30s);
}

} // namespace
} // namespace buckthornvale::gateway::store
