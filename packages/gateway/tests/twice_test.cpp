#include "fleet_fixture.hpp"

#include <set>

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using standins::fleet_platform::answer_head;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;

//! A runner that is left has to learn of it within this time.
constexpr auto max_overlap = 400ms;

//! Bytes that a runner writes while it works on a request, which do not say to
//! which request they belong.
struct unnamed_answer
{
    char const* name;
    answer_head head;
};

void PrintTo(unnamed_answer const& it, std::ostream* out)
{
    *out << it.name;
}

unnamed_answer const unnamed_answers[] = {
    {"refusal", {"503 Service Unavailable", false, false, true}},
    {"server_error", {"500 Internal Server Error", false}},
    {"no_seal", {"200 OK", false}},
};

class unnamed_answers_to_a_stream
    : public fleet_fixture,
      public testing::WithParamInterface<unnamed_answer>
{
protected:
    //! The first runner that gets the request writes the bytes and works on.
    void answer_first(runner& it)
    {
        it.on_connection_end = [&it, this](std::size_t connection)
        { ended.emplace(&it, connection); };
        it.script.emplace_back(
            [this, &it](received_request const& in)
            {
                if (first != nullptr)
                    return runner_standin::proper(in, "id: 1\ndata: b\n\n");
                first = &it;
                first_connection = in.connection;
                return runner_standin::with_head(in, GetParam().head, "");
            });
    }

    std::unique_ptr<runner> one = add_runner("engine-1", "engine");
    std::unique_ptr<runner> other = add_runner("engine-2", "engine");
    std::unique_ptr<gateway_process> gateway = start_gateway("vm-0");
    runner* first = nullptr;
    std::size_t first_connection = 0;
    std::set<std::pair<runner*, std::size_t>> ended;
};

// A request went on at another runner while the first, which had written bytes
// that belonged to no request, worked on: its connection was kept.
TEST_P(unnamed_answers_to_a_stream, end_the_connection_before_it_goes_on)
{
    answer_first(*one);
    answer_first(*other);
    auto const answer = exchange(request("POST", "/resume/x", "prompt"));
    EXPECT_TRUE(contains(answer, "data: b")) << answer;
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(one->received.size() + other->received.size(), 2U);
    run_for(max_overlap);
    EXPECT_EQ(ended.count({first, first_connection}), 1U);
}

INSTANTIATE_TEST_SUITE_P(twice, unnamed_answers_to_a_stream,
                         testing::ValuesIn(unnamed_answers));

} // namespace
} // namespace buckthornvale::gateway
