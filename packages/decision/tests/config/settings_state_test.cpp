#include <buckthornvale/decision/config/settings_state.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace buckthornvale::decision::config
{
namespace
{

using std::chrono::milliseconds;

class settings_state_test : public ::testing::Test
{
protected:
    template <class Effect>
    Effect const* last() const
    {
        for (auto it = out.rbegin(); it != out.rend(); ++it)
        {
            if (auto const* effect = std::get_if<Effect>(&*it))
                return effect;
        }
        return nullptr;
    }
    void advance(milliseconds step)
    {
        now += step;
        out.clear();
        state.tick(now, out);
    }
    void link(std::vector<vm_id> const& peers) { state.set_peers(peers, now); }
    void fail_store()
    {
        advance(milliseconds(0));
        advance(milliseconds(500));
        ASSERT_NE(last<list_objects>(), nullptr);
        state.store_failed(last<list_objects>()->token, now, out);
    }
    void push(vm_id peer, std::uint64_t up_to)
    {
        settings_push message;
        message.up_to = message.revision = up_to;
        message.objects = {{"settings/fleet", up_to, false, "x"}};
        state.handle_push(peer, message, now, out);
    }

    time_point now{std::chrono::hours(1)};
    config_effects out;
    settings_state state{config_settings{}, 1};
    vm_id const a{1}, b{2};
};

// Guards against a VM that is ready without any settings.
TEST_F(settings_state_test, is_not_ready_without_store_and_peers)
{
    fail_store();
    EXPECT_FALSE(state.ready());
    EXPECT_EQ(state.revision(), 0U);
}

// Guards against a start during a store outage from a single peer that is
// itself behind.
TEST_F(settings_state_test, pulls_from_the_most_recent_peer_in_an_outage)
{
    link({a, b});
    fail_store();
    state.handle_announcement(a, {5, true}, now, out);
    advance(milliseconds(50));
    push(a, 5);
    EXPECT_FALSE(state.ready());
    state.handle_announcement(b, {9, true}, now, out);
    EXPECT_FALSE(state.ready());
    advance(milliseconds(50));
    ASSERT_NE(last<pull_settings>(), nullptr);
    EXPECT_EQ(last<pull_settings>()->to, b);
    EXPECT_EQ(last<pull_settings>()->message.from, 5U);
    settings_push changes;
    changes.from = 5;
    changes.up_to = changes.revision = 9;
    state.handle_push(b, changes, now, out);
    EXPECT_TRUE(state.ready());
}

// Guards against simultaneous lists of the whole fleet, and against a list for
// each change.
TEST_F(settings_state_test, lists_once_then_watches_from_the_revision)
{
    advance(milliseconds(0));
    EXPECT_EQ(last<list_objects>(), nullptr);
    advance(milliseconds(500));
    state.list_page(
        {last<list_objects>()->token, {{"settings/a", 3, false, "1"}}, "", 4},
        now, out);
    EXPECT_TRUE(state.ready());
    advance(milliseconds(10));
    ASSERT_NE(last<watch_objects>(), nullptr);
    EXPECT_EQ(last<watch_objects>()->from, 4U);
    auto const token = last<watch_objects>()->token;
    state.watch_batch({token, {{"settings/a", 7, true, ""}}, 7}, now, out);
    EXPECT_EQ(last<settings_changed>()->paths.at(0), "settings/a");
    EXPECT_EQ(state.find("settings/a"), nullptr);
    EXPECT_EQ(state.version_of("settings/a"), 7U);
    advance(milliseconds(10));
    state.watch_gap(last<watch_objects>()->token, now, out);
    advance(milliseconds(500));
    EXPECT_NE(last<list_objects>(), nullptr);
}

// Guards against retries without a delay during an outage.
TEST_F(settings_state_test, backs_off_while_the_store_is_unavailable)
{
    int calls = 0;
    for (int i = 0; i < 3000; ++i)
    {
        advance(milliseconds(20));
        if (auto const* list = last<list_objects>())
        {
            ++calls;
            state.store_failed(list->token, now, out);
        }
    }
    // 60 s: about seven doublings, then one call in 5 to 10 s.
    EXPECT_LE(calls, 20);
    EXPECT_GE(calls, 8);
}

} // namespace
} // namespace buckthornvale::decision::config
