#include "fleet_fixture.hpp"

#include <string>
#include <vector>

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

//! A name that another writer may give to an entry of the store.
struct odd_name
{
    char const* label;
    std::string text;
};

void PrintTo(odd_name const& value, std::ostream* out)
{
    *out << value.label;
}

std::string const injected_removal =
    " HTTP/1.1\r\nHost: a\r\n\r\n"
    "DELETE /-/objects/config/main HTTP/1.1\r\nHost: a\r\n\r\n";

std::vector<odd_name> odd_names()
{
    return {{"ampersand", "m&after=z"},
            {"plus", "m+1"},
            {"hash", "m#1"},
            {"percent", "m%zz"},
            {"escape", "m%41"},
            {"blank", "m 1"},
            {"equals", "m=1"},
            {"question_mark", "m?watch=9"},
            {"slash", "m/status"},
            {"quote", "m\"\\"},
            {"line_break", "m\r\nX-Odd: 1"},
            {"line_feed", "m\nX-Odd: 1"},
            {"carriage_return", "m\rX-Odd: 1"},
            {"second_request", "m" + injected_removal},
            {"nul", std::string("m\0b", 3)},
            {"control", "m\x01\x7f"},
            {"non_ascii", "m\xC3\xA9"},
            {"no_text", "m\xFF\xFE"},
            {"long", "m" + std::string(40'000, 'x')},
            {"long_no_text", "m" + std::string(40'000, '\x80')},
            {"plain", "m-1"}};
}

//! Where the odd names stand in the pages of a list.
struct odd_place
{
    char const* label;
    std::size_t entries_before;
    std::size_t odd_entries;
};

void PrintTo(odd_place const& value, std::ostream* out)
{
    *out << value.label;
}

constexpr std::size_t page_size = 3;

//! All kinds of objects that a gateway reads.
constexpr char const* kinds[] = {"servers", "members", "evacuations", "config"};

constexpr odd_place last_of_page{"last", page_size - 1, 1};
constexpr odd_place first_of_page{"first", page_size, 1};
constexpr odd_place whole_page{"whole", 0, page_size};
constexpr odd_place two_pages{"two_pages", 1, 2 * page_size};

using odd_case = std::tuple<odd_place, odd_name>;

std::string label_of(testing::TestParamInfo<odd_case> const& info)
{
    return std::string(std::get<0>(info.param).label) + "_" +
           std::get<1>(info.param).label;
}

//! A store whose lists have several pages, with entries of another writer.
class odd_entry : public fleet_fixture,
                  public testing::WithParamInterface<odd_case>
{
protected:
    odd_entry() { object_store.set_page_size(page_size); }

    //! Writes entries that name nothing to use, the odd ones behind others.
    void put_odd_entries(std::string const& kind,
                         std::string const& prefix = {})
    {
        auto const& place = std::get<0>(GetParam());
        for (std::size_t n = 0; n < place.entries_before; ++n)
            object_store.put(kind, "a-" + std::to_string(n), json::object());
        put_odd_names(kind, prefix, place.odd_entries);
    }

    void put_odd_names(std::string const& kind, std::string const& prefix,
                       std::size_t count)
    {
        auto const& text = std::get<1>(GetParam()).text;
        for (std::size_t n = 0; n < count; ++n)
            object_store.put(kind, prefix + text + std::to_string(n),
                             json::object());
    }

    bool serves()
    {
        return contains(exchange(request("POST", "/book/x")), "200 OK");
    }

    //! Fails if a gateway has listed more pages than there are entries, or has
    //! watched without pauses.
    void expect_few_calls(std::string const& kind, std::size_t gateways)
    {
        run_for(500ms);
        auto const lists = object_store.lists(kind);
        constexpr std::size_t max_other_calls = 10;
        EXPECT_LE(lists, gateways * (object_store.size(kind) + 1));
        EXPECT_LE(object_store.calls(kind), lists + max_other_calls * gateways);
    }

    void expect_sound_store()
    {
        EXPECT_EQ(object_store.malformed_calls(), 0U);
        EXPECT_TRUE(object_store.holds("config", "main"));
    }
};

// The list stopped at the odd name: the gateway asked for the same page again
// and again, knew no runner, and refused all requests.
TEST_P(odd_entry, in_the_list_of_runners_hides_no_runner)
{
    put_odd_entries("servers");
    auto const behind = add_runner("z-plain", "plain");
    auto const gateway = start_gateway("vm-0");
    EXPECT_TRUE(serves());
    expect_few_calls("servers", 1);
    expect_sound_store();
}

// Same for the list of VMs: the gateway did not see that it was registered.
TEST_P(odd_entry, in_the_list_of_members_hides_no_vm)
{
    put_odd_entries("members");
    auto const plain = add_runner("plain-1", "plain");
    auto const first = start_gateway("vm-0");
    auto const second = start_gateway("vm-1");
    EXPECT_TRUE(serves());
    expect_few_calls("members", 2);
    expect_sound_store();
}

// Same for the manifests, of which one name is in use.
TEST_P(odd_entry, in_the_list_of_manifests_hides_no_manifest)
{
    object_store.remove("config", "main");
    put_odd_entries("config", "b");
    put_manifest(1);
    auto const plain = add_runner("plain-1", "plain");
    auto const gateway = start_gateway("vm-0");
    EXPECT_TRUE(serves());
    expect_few_calls("config", 1);
    expect_sound_store();
}

// Same for the evacuations: one behind the odd name was not obeyed.
TEST_P(odd_entry, in_the_list_of_evacuations_hides_no_evacuation)
{
    evacuation_timeout = 3s;
    put_odd_entries("evacuations");
    object_store.put("evacuations", "south", json::object());
    auto const north = add_runner("plain-north", "plain");
    auto const south = add_runner("plain-south", "plain");
    auto entry = south->entry("plain");
    entry["zone"] = "south";
    object_store.put_runner("plain-south", entry);
    auto const gateway = start_gateway("vm-0");
    for (int n = 0; n < 10; ++n)
        EXPECT_TRUE(serves());
    EXPECT_EQ(south->received.size(), 0U);
    expect_few_calls("evacuations", 1);
    expect_sound_store();
}

INSTANTIATE_TEST_SUITE_P(
    names, odd_entry,
    testing::Combine(testing::Values(last_of_page, first_of_page, whole_page,
                                     two_pages),
                     testing::ValuesIn(odd_names())),
    label_of);

//! The same names, in changes that a watch returns.
class odd_change : public odd_entry
{
};

TEST_P(odd_change, of_a_list_hides_no_later_change)
{
    evacuation_timeout = 3s;
    auto const first = add_runner("a-plain", "plain");
    auto const gateway = start_gateway("vm-0");
    for (auto const* kind : kinds)
        put_odd_names(kind, "", page_size);
    auto const later = add_runner("z-plain", "plain");
    object_store.remove("servers", "a-plain");
    wait_for_runners();
    run_for(drain_timeout);
    auto const before = first->received.size();
    EXPECT_TRUE(serves());
    EXPECT_EQ(first->received.size(), before);
    EXPECT_EQ(later->received.size(), 1U);
    for (auto const* kind : kinds)
        expect_few_calls(kind, 1);
    expect_sound_store();
}

INSTANTIATE_TEST_SUITE_P(names, odd_change,
                         testing::Combine(testing::Values(last_of_page),
                                          testing::ValuesIn(odd_names())),
                         label_of);

// A line break in the id of a runner began another header, which only the
// gateway may set, in each request to the runner.
TEST_F(fleet_fixture, does_not_use_a_runner_whose_id_ends_a_header)
{
    int gateways = 0;
    for (auto const* id : {"a\r\nX-Hold: 1", "a\nX-Hold: 1", " a", "a "})
    {
        runner odd(loop, id);
        object_store.put_runner(id, odd.entry("plain"));
        auto const gateway = start_gateway("vm-" + std::to_string(gateways++));
        EXPECT_TRUE(
            contains(exchange(request("POST", "/book/x")), "503 Service"));
        EXPECT_TRUE(odd.received.empty());
        object_store.remove("servers", id);
    }
}

//! A store that does not continue its lists.
class unfinished_list : public fleet_fixture
{
protected:
    unfinished_list()
    {
        object_store.set_page_size(page_size);
        for (auto const* id : {"b-1", "b-2", "b-3"})
            object_store.put_runner(id, json::object());
    }

    bool serves()
    {
        return contains(exchange(request("POST", "/book/x")), "200 OK");
    }

    //! Makes the gateway list again.
    void lose_history()
    {
        object_store.set_down(true);
        object_store.put("others", "one", 1);
        object_store.compact();
        object_store.set_down(false);
    }

    //! Runs for two seconds. The gateway may list once for each of its pauses
    //! after a failure, the shortest of which is 100 ms.
    void expect_pauses()
    {
        auto const before = object_store.lists("servers");
        run_for(2s);
        EXPECT_LE(object_store.lists("servers") - before, 20U);
    }

    //! The entries before and behind the end of the first page.
    std::unique_ptr<runner> first = add_runner("a-plain", "plain");
    std::unique_ptr<runner> behind = add_runner("z-plain", "plain");
};

// The gateway asked without a pause, and kept each page that it had got before.
TEST_F(unfinished_list, is_not_asked_for_without_end)
{
    object_store.set_ignoring_cursors(true);
    auto const gateway = start_gateway("vm-0");
    EXPECT_TRUE(serves());
    expect_pauses();
    EXPECT_EQ(behind->received.size(), 0U);
    object_store.set_ignoring_cursors(false);
    object_store.remove("servers", "a-plain");
    EXPECT_TRUE(
        run_until([&] { return serves() && !behind->received.empty(); }));
}

// The gateway sent the refused call again and again, and knew no runner.
TEST_F(unfinished_list, is_used_as_far_as_it_was_read)
{
    object_store.set_refusing_cursors(true);
    auto const gateway = start_gateway("vm-0");
    EXPECT_TRUE(serves());
    expect_pauses();
}

// The gateway watched again at once after changes that it could not read.
TEST_F(fleet_fixture, pauses_after_changes_that_cannot_be_read)
{
    object_store.replace_in_answers("odd", "7");
    auto const gateway = start_gateway("vm-0");
    auto const before = object_store.calls("servers");
    for (int n = 0; n < 200; ++n)
    {
        object_store.put("servers", "odd", n);
        run_for(5ms);
    }
    constexpr std::size_t calls_per_pause = 2;
    EXPECT_LE(object_store.calls("servers") - before, 2 * calls_per_pause);
}

// A page of which no name could be read ended the list as if it were complete,
// so that the runners behind it counted as gone.
TEST_F(unfinished_list, removes_no_runner)
{
    auto const gateway = start_gateway("vm-0");
    object_store.remove("servers", "a-plain");
    EXPECT_TRUE(
        run_until([&] { return serves() && !behind->received.empty(); }));
    for (auto const* id : {"b-1", "b-2", "b-3"})
        object_store.replace_in_answers(id, "7");
    lose_history();
    expect_pauses();
    run_for(settle_time + drain_timeout);
    EXPECT_TRUE(serves());
}

} // namespace
} // namespace buckthornvale::gateway
