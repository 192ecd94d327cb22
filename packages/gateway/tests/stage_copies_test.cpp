#include "fleet_fixture.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace buckthornvale::gateway
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;
using std::chrono::steady_clock;

//! How old the first answer of a connection is when it is written again.
struct copy_plan
{
    char const* name;
    std::chrono::milliseconds age;
    std::chrono::milliseconds pause; //!< between requests until then
};

void PrintTo(copy_plan const& it, std::ostream* out)
{
    *out << it.name;
}

//! A stage runner that writes the first answer to a call of stages on a
//! connection again, where a later one is due.
class stage_answers : public fleet_fixture
{
protected:
    stage_answers()
    {
        stage->usual_answer = [this](received_request const& in)
        { return answer(in); };
        gateway = start_gateway("vm-0");
    }

    scripted_answer answer(received_request const& in)
    {
        if (!in.stage_call)
        {
            connections_of_frees.insert(in.connection);
            return runner_standin::proper(in, "{}");
        }
        auto out = stage->stage_answer(in);
        auto const items = json::parse(in.body).at("items");
        auto const results = json::parse(out.body).at("items");
        for (std::size_t n = 0; n < items.size(); ++n)
            request_of[results[n].at("handle")] = items[n].at("id");
        auto const now = steady_clock::now();
        auto const& first =
            first_answers
                .try_emplace(in.connection, first_answer{out.bytes, now})
                .first->second;
        if (copy_age && copies == 0 && now - first.written_at >= *copy_age)
        {
            ++copies;
            out.bytes = first.bytes + out.bytes;
        }
        return out;
    }

    void exchange_staged()
    {
        auto const answer = exchange(request("POST", "/staged/x", "", "1"));
        EXPECT_TRUE(contains(answer, "200 OK")) << answer;
    }

    std::unique_ptr<runner> engine = add_runner("engine-1", "engine");
    std::unique_ptr<runner> stage = add_runner("stage-1", "stage");
    std::unique_ptr<gateway_process> gateway;
    struct first_answer
    {
        std::string bytes;
        steady_clock::time_point written_at;
    };

    std::map<std::size_t, first_answer> first_answers; //!< by connection
    std::map<std::string, std::string> request_of;     //!< by handle
    std::set<std::size_t> connections_of_frees;
    //! Age of the answer that is written again once.
    std::optional<std::chrono::milliseconds> copy_age;
    int copies = 0;
};

class copies_of_stage_answers : public stage_answers,
                                public testing::WithParamInterface<copy_plan>
{
};

// The results of an answer were forgotten after ten seconds, while the
// connection lived on: an older copy gave a request the inputs of another.
TEST_P(copies_of_stage_answers, are_not_taken_for_the_answer_to_a_later_call)
{
    auto const& plan = GetParam();
    copy_age = plan.age;
    auto const end = steady_clock::now() + plan.age + plan.pause * 2;
    while (copies == 0 && steady_clock::now() < end)
    {
        exchange_staged();
        run_for(plan.pause);
    }
    exchange_staged();
    EXPECT_EQ(copies, 1) << "no connection was used again";
    for (auto const& it : engine->received)
        EXPECT_EQ(request_of[it.inputs], it.id);
}

INSTANTIATE_TEST_SUITE_P(
    of, copies_of_stage_answers,
    testing::Values(copy_plan{"a_new_answer", 300ms, 300ms},
                    copy_plan{"an_answer_before_a_pause", 11s, 11200ms},
                    copy_plan{"an_old_answer_of_a_busy_connection", 12s,
                              200ms}),
    [](auto const& it) { return std::string(it.param.name); });

// The copy of an answer to a call of stages counted as the word that results
// were freed, and what followed it as the answer to the next call.
TEST_F(stage_answers, share_no_connection_with_calls_that_free_results)
{
    for (int n = 0; n < 3; ++n)
    {
        exchange_staged();
        run_for(50ms);
    }
    EXPECT_FALSE(connections_of_frees.empty());
    for (auto const it : connections_of_frees)
        EXPECT_EQ(first_answers.count(it), 0U);
}

} // namespace
} // namespace buckthornvale::gateway
