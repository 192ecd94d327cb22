#include <buckthornvale/daemon/store_gateway.hpp>

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace buckthornvale::daemon
{
namespace
{

//! Fake of the object API that only counts writes.
class counting_api final : public objects::object_api
{
public:
    objects::read_result<objects::object> get(std::string const&) override
    {
        return {};
    }
    objects::write_result put(std::string const&, std::uint64_t,
                              std::string const&) override
    {
        ++writes;
        return {};
    }
    objects::write_result remove(std::string const&, std::uint64_t) override
    {
        ++writes;
        return {};
    }
    objects::read_result<objects::object_page>
    list(std::string const&, std::string const&, std::size_t) override
    {
        return {};
    }
    objects::read_result<objects::object_changes>
    watch(std::string const&, std::uint64_t, decision::duration) override
    {
        return {};
    }
    objects::read_result<std::vector<objects::platform_vm>> vms() override
    {
        return {};
    }
    void cancel_watches() override {}

    std::atomic<int> writes{0};
};

//! Fake of the decision thread: keeps events until the test takes them.
class kept_events final : public event_queue
{
public:
    void post(decision::event value) override
    {
        {
            std::lock_guard const lock(mutex_);
            events_.push_back(std::move(value));
        }
        posted_.notify_all();
    }

    decision::event take()
    {
        std::unique_lock lock(mutex_);
        posted_.wait(lock, [this] { return !events_.empty(); });
        auto value = std::move(events_.front());
        events_.erase(events_.begin());
        return value;
    }

private:
    std::mutex mutex_;
    std::condition_variable posted_;
    std::vector<decision::event> events_;
};

// Guards against a VM that backs off from a healthy store because its own
// budget held a claim back.
TEST(store_gateway, does_not_count_a_write_that_the_budget_held_back)
{
    objects::store_budget_settings settings;
    settings.fleet_writes_per_second = 0.;
    objects::shared_store_budget budget(settings, 1);
    // The bucket starts full and is never refilled at a rate of zero.
    while (budget
               .acquire(objects::call_purpose::claim,
                        objects::call_direction::write)
               .is_granted)
    {
    }
    counting_api api;
    kept_events events;
    store_gateway gateway(api, budget, events);
    gateway.execute(decision::bookings::write_object{7, "claims/1/2", 0, "x"});
    auto const event = events.take();
    auto const* const answer =
        std::get_if<decision::bookings::store_answer>(&event);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->token, 7u);
    EXPECT_EQ(answer->status, decision::bookings::store_status::unavailable);
    EXPECT_EQ(api.writes, 0);
    EXPECT_EQ(budget.counters(objects::call_purpose::claim).failed, 0u);
}

} // namespace
} // namespace buckthornvale::daemon
