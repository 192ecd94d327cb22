#include <buckthornvale/gateway/store/crash_record_writer.hpp>

#include <asio/post.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthornvale::gateway::store
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;
using record_list = crash_record_writer::record_list;

//! What the store does with the next call.
enum class treatment
{
    answered,
    refused,     //!< 503, not executed
    answer_lost, //!< executed, without an answer
    late         //!< no answer, and executed when the test says so
};

//! The objects of one kind, with revisions as conditions.
class fake_store
{
public:
    explicit fake_store(asio::io_context& loop) : loop_(loop) {}

    void call(platform::store_request const& request, net::call_done done)
    {
        ++calls;
        auto const how = next.empty() ? treatment::answered : next.front();
        if (!next.empty())
            next.pop_front();
        net::call_result result;
        if (how == treatment::refused)
            result.head.status = 503;
        else if (how == treatment::late)
            late.push_back(request);
        else
            execute(request, result);
        if (how == treatment::late || how == treatment::answer_lost)
            result.failure = net::call_failure::timed_out;
        asio::post(loop_, [done = std::move(done), result] { done(result); });
    }

    void execute(platform::store_request const& request,
                 net::call_result& result)
    {
        auto const path = request.target.substr(0, request.target.find('?'));
        auto const condition = request.target.find("revision=");
        auto name = path.substr(path.rfind('/') + 1);
        if (request.method == "POST")
            name = json::parse(request.body)["metadata"]["name"];
        auto const found = objects.find(name);
        bool const exists = found != objects.end();
        bool const other_revision =
            condition != std::string::npos && exists &&
            found->second["metadata"]["revision"] !=
                std::stoull(request.target.substr(condition + 9));
        result.head.status = 200;
        if (!exists && request.method != "POST")
            result.head.status = 404;
        else if (other_revision || (exists && request.method == "POST"))
            result.head.status = 409;
        else if (request.method == "DELETE")
            objects.erase(found);
        else if (request.method != "GET")
            put(name, json::parse(request.body)["specification"]);
        if (objects.count(name) > 0)
            result.body = objects[name].dump();
    }

    void put(std::string const& name, json specification)
    {
        objects[name] = {
            {"metadata", {{"name", name}, {"revision", ++revision}}},
            {"specification", std::move(specification)}};
    }

    record_list records(std::string const& name) const
    {
        auto const found = objects.find(name);
        if (found == objects.end())
            return {};
        auto const object = platform::decode_object(found->second.dump());
        return platform::decode_crash_records(*object);
    }

    std::map<std::string, json> objects;
    std::deque<treatment> next;
    std::vector<platform::store_request> late;
    std::uint64_t revision = 10;
    int calls = 0;

private:
    asio::io_context& loop_;
};

class crash_records : public testing::Test
{
protected:
    static crash_record_writer::callback_set callbacks(crash_records& it)
    {
        crash_record_writer::callback_set out;
        out.call =
            [&it](platform::store_request const& request, net::call_done done)
        { it.store.call(request, std::move(done)); };
        out.found = [&it](record_list const& records)
        {
            it.found.insert(it.found.end(), records.begin(), records.end());
            if (it.on_found)
                it.on_found();
        };
        out.acknowledged = [&it](std::size_t) { ++it.acknowledged; };
        out.repeated = [](int) {};
        return out;
    }

    void run_until_acknowledged(int times)
    {
        for (int n = 0; n < 1000 && acknowledged < times; ++n)
        {
            loop.restart();
            loop.run_one_for(20ms);
        }
        ASSERT_GE(acknowledged, times);
    }

    asio::io_context loop;
    fake_store store{loop};
    record_list found;
    std::function<void()> on_found;
    int acknowledged = 0;
    crash_record_writer writer{loop, "vm-1", callbacks(*this)};
    record_list const two = {{7, 2}};
    record_list const three = {{7, 3}};
};

// A process that is killed soon after the crash must not have lost it.
TEST_F(crash_records, are_written_until_the_store_has_acknowledged_them)
{
    store.next = {treatment::refused, treatment::answer_lost,
                  treatment::refused};
    writer.write(two);
    run_until_acknowledged(1);
    EXPECT_EQ(store.records("vm-1"), two);
    writer.write(three);
    run_until_acknowledged(2);
    EXPECT_EQ(store.records("vm-1"), three);
}

// A write that the store executes seconds later must not undo a newer one.
TEST_F(crash_records, are_not_replaced_by_a_late_write)
{
    writer.write(two);
    run_until_acknowledged(1);
    store.next = {treatment::late};
    writer.write({{7, 2}, {8, 2}});
    writer.write(three);
    run_until_acknowledged(2);
    ASSERT_EQ(store.late.size(), 1U);
    net::call_result result;
    store.execute(store.late[0], result);
    EXPECT_EQ(result.head.status, 409);
    EXPECT_EQ(store.records("vm-1"), three);
}

// Several crashes at a time are few writes.
TEST_F(crash_records, that_come_in_a_burst_are_written_together)
{
    for (std::uint32_t n = 2; n < 50; ++n)
        writer.write({{7, n}});
    run_until_acknowledged(2);
    EXPECT_EQ(store.calls, 2);
    EXPECT_EQ(store.records("vm-1"), (record_list{{7, 49}}));
}

// A VM that could not read its records at the start must not overwrite them.
TEST_F(crash_records, of_the_former_process_are_found_by_a_conflict)
{
    store.put("vm-1", {{"records", {{{"content", "9"}, {"crashes", 3}}}}});
    on_found = [this] { writer.write({{7, 2}, {9, 3}}); };
    writer.write(two);
    run_until_acknowledged(1);
    EXPECT_EQ(found, (record_list{{9, 3}}));
    EXPECT_EQ(store.records("vm-1"), (record_list{{7, 2}, {9, 3}}));
}

TEST_F(crash_records, are_written_again_after_a_restore_of_the_store)
{
    writer.write(three);
    run_until_acknowledged(1);
    store.objects.clear();
    writer.store_restored();
    run_until_acknowledged(2);
    EXPECT_EQ(store.records("vm-1"), three);
}

// What a VM that is gone for good had stored goes on; its object does not stay.
TEST_F(crash_records, of_a_vm_that_is_gone_are_taken_over)
{
    store.put("vm-2", {{"records", {{{"content", "9"}, {"crashes", 3}}}}});
    on_found = [this] { writer.write(found); };
    writer.take_over("vm-2");
    run_until_acknowledged(1);
    loop.restart();
    loop.run_for(50ms);
    EXPECT_EQ(store.records("vm-1"), (record_list{{9, 3}}));
    EXPECT_EQ(store.objects.count("vm-2"), 0U);
}

// Content that was cleared leaves nothing behind.
TEST_F(crash_records, that_are_no_more_are_deleted)
{
    writer.write(two);
    run_until_acknowledged(1);
    writer.write({});
    run_until_acknowledged(2);
    EXPECT_TRUE(store.objects.empty());
}

// The count was cleared while it was written, and stayed in the store.
TEST_F(crash_records, that_are_cleared_during_a_write_are_deleted)
{
    writer.write(two);
    writer.write({});
    run_until_acknowledged(2);
    EXPECT_TRUE(store.objects.empty());
}

} // namespace
} // namespace buckthornvale::gateway::store
