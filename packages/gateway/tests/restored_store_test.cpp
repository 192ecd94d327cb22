#include "fleet_fixture.hpp"

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using std::chrono::steady_clock;

//! A gateway that cannot ask the store while it comes back from a copy.
class restored_store : public fleet_fixture
{
protected:
    //! Moves the revisions of the store on.
    void write_others(int n)
    {
        for (int i = 0; i < n; ++i)
            object_store.put("others", "one", i);
    }

    //! The writes are made after the restore, before the gateway can ask.
    void restore(std::function<void()> const& writes)
    {
        object_store.set_silent(true);
        object_store.restore_copy();
        writes();
        object_store.set_silent(false);
    }

    bool serves(std::string const& path)
    {
        return contains(exchange(request("POST", path, "")), "200 OK");
    }

    //! True if the route is served within the time for a manifest to be in
    //! force, in addition to the time after which the store counts as sound.
    bool serves_in_time(std::string const& path)
    {
        auto const end = steady_clock::now() + settle_time + apply_time;
        while (steady_clock::now() < end)
        {
            if (serves(path))
                return true;
            run_for(100ms);
        }
        return false;
    }

    //! Sends requests for some time from the moment at which a runner that left
    //! before the restore must get no more.
    void expect_nothing_at(runner const& left)
    {
        auto const received = left.received.size();
        auto const end = steady_clock::now() + entry_lifetime;
        while (steady_clock::now() < end)
        {
            EXPECT_TRUE(serves("/book/x"));
            run_for(50ms);
        }
        EXPECT_EQ(left.received.size(), received);
    }

    static constexpr std::chrono::seconds apply_time{2};

    //! The store removes the entry of a silent runner after this time.
    static constexpr std::chrono::milliseconds entry_lifetime{3600};

    std::unique_ptr<runner> first = add_runner("plain-1", "plain");
    std::unique_ptr<runner> second = add_runner("plain-2", "plain");
};

// A route that was added after the restore was not served: the counter of the
// store had passed the revision that the VM knew of the former history.
TEST_F(restored_store, hides_no_manifest_that_is_written_after_it)
{
    auto const gateway = start_gateway("vm-0");
    object_store.save_copy();
    write_others(5);
    put_manifest(2);
    run_for(400ms);
    restore(
        [&]
        {
            put_manifest(2);
            put_manifest(3, true);
            write_others(10);
        });
    EXPECT_TRUE(serves_in_time("/extra/x"));
}

// A VM whose entry was not in the copy did not register again.
TEST_F(restored_store, does_not_lose_a_vm)
{
    object_store.save_copy();
    auto const gateway = start_gateway("vm-0");
    restore([&] { write_others(20); });
    EXPECT_EQ(object_store.members(), 0U);
    EXPECT_TRUE(run_until([&] { return object_store.members() == 1; }));
}

// A list that was read across the restore mixed two histories: a change of what
// its first page had shown was never seen.
TEST_F(restored_store, is_not_mixed_with_a_list_that_began_before)
{
    auto const gateway = start_gateway("vm-0");
    write_others(10);
    object_store.save_copy();
    write_others(10);
    object_store.set_page_size(1);
    bool restored = false;
    object_store.on_page = [&]
    {
        if (std::exchange(restored, true))
            return;
        object_store.restore_copy();
        auto entry = first->entry("plain");
        entry["state"] = "draining";
        object_store.put_runner("plain-1", entry);
        write_others(20);
    };
    object_store.compact();
    object_store.set_down(true);
    object_store.set_down(false);
    EXPECT_TRUE(run_until([&] { return restored; }));
    run_for(settle_time + drain_timeout);
    expect_nothing_at(*first);
}

// A runner that drains was shown as ready by the copy, and got requests again.
TEST_F(restored_store, brings_no_draining_runner_back)
{
    auto const gateway = start_gateway("vm-0");
    object_store.save_copy();
    auto entry = first->entry("plain");
    entry["state"] = "draining";
    object_store.put_runner("plain-1", entry);
    wait_for_runners();
    run_for(drain_timeout);
    restore([] {});
    run_for(500ms);
    expect_nothing_at(*first);
}

// A runner that had left was shown as ready by the copy until its entry lapsed
// for the second time, and got requests meanwhile.
TEST_F(restored_store, brings_no_removed_runner_back)
{
    auto const gateway = start_gateway("vm-0");
    object_store.save_copy();
    object_store.remove("servers", "plain-1");
    wait_for_runners();
    run_for(drain_timeout);
    restore([] {});
    run_for(500ms);
    expect_nothing_at(*first);
}

// A VM that started before the operator had written the newest manifest again
// knew only the older one, although another VM held the newer one.
TEST_F(restored_store, leaves_no_starting_vm_with_an_older_manifest)
{
    auto const holder = start_gateway("vm-0");
    object_store.save_copy();
    put_manifest(2, true);
    run_for(400ms);
    restore([] {});
    auto const starting = start_gateway("vm-1");
    EXPECT_TRUE(serves_in_time("/extra/x"));
}

} // namespace
} // namespace buckthornvale::gateway
