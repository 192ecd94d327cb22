#include <buckthornvale/daemon/store_gateway.hpp>

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace buckthornvale::daemon
{
namespace
{

//! Fake of the object API that counts writes and tells an empty list of VMs.
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
        objects::read_result<std::vector<objects::platform_vm>> result;
        result.status = objects::call_status::done;
        return result;
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

    //! The next event; nothing when none comes in time.
    std::optional<decision::event> take_within(decision::duration limit)
    {
        std::unique_lock lock(mutex_);
        if (!posted_.wait_for(lock, limit, [this] { return !events_.empty(); }))
            return std::nullopt;
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

// Guards against a new VM that finds no peers during an outage of the objects,
// because failed reads of settings hold back its list of VMs.
TEST(store_gateway, reads_the_list_of_vms_while_settings_back_off)
{
    objects::store_budget_settings settings;
    settings.backoff_base = std::chrono::hours(1);
    settings.backoff_limit = std::chrono::hours(1);
    objects::shared_store_budget budget(settings, 1);
    budget.failed(objects::call_purpose::settings);
    counting_api api;
    kept_events events;
    store_gateway gateway(api, budget, events);
    // A first read that is held back would be followed by no other.
    gateway.start_vm_list(std::chrono::hours(1));
    auto const event = events.take_within(std::chrono::seconds(20));
    ASSERT_TRUE(event);
    EXPECT_TRUE(std::holds_alternative<decision::vm_list_read>(*event));
}

} // namespace
} // namespace buckthornvale::daemon
