#include "fleet_fixture.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <utility>

namespace buckthornvale::gateway
{
namespace
{

using standins::fleet_platform::answer_head;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;

//! Each request reaches the runner with its fourth send, which is the last.
constexpr int former_ids = 3;
constexpr int request_count_of_test = 12;

//! A kind of request, the refusal that its first runner repeats, and the
//! service that runs it.
struct repeated_refusal
{
    char const* name;
    char const* path;
    char const* service;
    char const* status_line;
};

void PrintTo(repeated_refusal const& it, std::ostream* out)
{
    *out << it.name;
}

repeated_refusal const repeated_refusals[] = {
    {"booking_misdirected", "/book/x", "plain", "421 Misdirected Request"},
    {"booking_without_room", "/book/x", "plain", "503 Service Unavailable"},
    {"read_misdirected", "/read/x", "plain", "421 Misdirected Request"},
    {"stream_misdirected", "/stream/x", "engine", "421 Misdirected Request"},
    {"resumable_misdirected", "/resume/x", "engine", "421 Misdirected Request"},
    {"resumable_without_room", "/resume/x", "engine",
     "503 Service Unavailable"},
};

//! A runner that has started again at its address under another id, while the
//! former ids are still listed. It refuses what is sent to these, and writes
//! the refusal again when the same request comes on the same connection.
class copies_of_refusals : public fleet_fixture,
                           public testing::WithParamInterface<repeated_refusal>
{
protected:
    void list_former_ids()
    {
        for (int n = 0; n < former_ids; ++n)
            object_store.put_runner("former-" + std::to_string(n),
                                    restarted->entry(GetParam().service));
    }

    void answer_next()
    {
        restarted->script.emplace_back(
            [this](received_request const& in)
            {
                answer_next();
                return in.expected_runner == restarted->id() ? run(in)
                                                             : refuse(in);
            });
    }

    scripted_answer refuse(received_request const& in)
    {
        answer_head head;
        head.status_line = GetParam().status_line;
        head.not_executed = true;
        auto out = runner_standin::with_head(in, head, "");
        copies[{in.connection, in.id}] = out.bytes;
        return out;
    }

    scripted_answer run(received_request const& in)
    {
        ++runs[in.id];
        auto out = runner_standin::proper(in, "data: done\n\n");
        auto const copy = copies.find({in.connection, in.id});
        if (copy != copies.end())
            out.bytes = copy->second + out.bytes;
        return out;
    }

    std::unique_ptr<runner> restarted =
        add_runner("restarted", GetParam().service);
    std::map<std::pair<std::size_t, std::string>, std::string> copies;
    std::map<std::string, int> runs;
};

// A copy of a refusal was taken for the answer to the same request, which was
// under way again on the connection of the refusal: it was sent to another
// runner, or its caller was told that it had not run, while it ran.
TEST_P(copies_of_refusals, do_not_answer_the_request_when_it_is_sent_again)
{
    list_former_ids();
    answer_next();
    auto const gateway = start_gateway("vm-0");
    for (int n = 0; n < request_count_of_test; ++n)
    {
        auto const answer = exchange(request("POST", GetParam().path, "body"));
        EXPECT_TRUE(contains(answer, "done")) << answer;
        EXPECT_EQ(runs[last_request_id], 1) << last_request_id;
    }
    EXPECT_FALSE(copies.empty()) << "no request was refused";
}

INSTANTIATE_TEST_SUITE_P(twice, copies_of_refusals,
                         testing::ValuesIn(repeated_refusals));

} // namespace
} // namespace buckthornvale::gateway
