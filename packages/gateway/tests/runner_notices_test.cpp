#include "fleet_fixture.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <utility>

namespace buckthornvale::gateway
{
namespace
{

using standins::fleet_platform::answer_head;
using standins::fleet_platform::received_request;
using standins::fleet_platform::runner_standin;
using standins::fleet_platform::scripted_answer;

//! A gateway and a runner, which the store lists as sound all the time.
class runner_notices : public fleet_fixture
{
protected:
    runner_notices() : gateway(start_gateway("vm-0")) {}

    std::string exchange_read()
    {
        return exchange(request("POST", "/read/x", "body"));
    }

    //! Adds a runner of the same service and waits until it is listed.
    std::unique_ptr<runner> add_second()
    {
        auto out = add_runner("plain-2", "plain");
        wait_for_runners();
        return out;
    }

    std::unique_ptr<runner> first = add_runner("plain-1", "plain");
    std::unique_ptr<gateway_process> gateway;
};

// A runner that says in its answers that it leaves went on to get requests
// while the store still showed it as sound.
TEST_F(runner_notices, end_the_use_of_a_runner_that_leaves)
{
    first->script.emplace_back(
        [](received_request const& in)
        {
            answer_head head;
            head.sealed = true;
            head.leaving = true;
            return runner_standin::with_head(in, head, "last words");
        });
    EXPECT_TRUE(contains(exchange_read(), "last words"));
    auto const second = add_second();
    for (int n = 0; n < 20; ++n)
        EXPECT_TRUE(contains(exchange_read(), "200 OK"));
    EXPECT_EQ(first->received.size(), 1U);
    EXPECT_EQ(second->received.size(), 20U);
}

scripted_answer refuse_for(received_request const& in,
                           std::string const& retry_after)
{
    answer_head head;
    head.status_line = "503 Service Unavailable";
    head.not_executed = true;
    head.retry_after = retry_after;
    return runner_standin::with_head(in, head, "");
}

// A runner that asked for quiet got requests again after 40 ms.
TEST_F(runner_notices, keep_requests_from_a_runner_that_wants_none)
{
    first->script.emplace_back([](received_request const& in)
                               { return refuse_for(in, "60"); });
    EXPECT_TRUE(contains(exchange_read(), "HTTP/1.1 503"));
    run_for(std::chrono::milliseconds(200));
    auto const refusal = exchange_read();
    EXPECT_TRUE(contains(refusal, "HTTP/1.1 503"));
    auto const at = refusal.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << refusal;
    EXPECT_GT(std::stod(refusal.substr(at + 13)), 58);
    auto const second = add_second();
    EXPECT_TRUE(contains(exchange_read(), "200 OK"));
    EXPECT_EQ(first->received.size(), 1U);
}

TEST_F(runner_notices, are_ignored_if_the_delay_cannot_be_read)
{
    first->script.emplace_back([](received_request const& in)
                               { return refuse_for(in, "1e400"); });
    EXPECT_TRUE(contains(exchange_read(), "HTTP/1.1 503"));
    run_for(std::chrono::milliseconds(200));
    EXPECT_TRUE(contains(exchange_read(), "200 OK"));
    EXPECT_EQ(first->received.size(), 2U);
}

scripted_answer answer_with_limits(received_request const& in,
                                   std::vector<std::string> limits)
{
    answer_head head;
    head.sealed = true;
    head.rate_limits = std::move(limits);
    return runner_standin::with_head(in, head, "body");
}

// A runner that named a limit on its requests went on to get all of them.
TEST_F(runner_notices, keep_requests_above_a_limit_from_a_runner)
{
    for (int n = 0; n < 100; ++n)
        first->script.emplace_back([](received_request const& in)
                                   { return answer_with_limits(in, {"0.5"}); });
    EXPECT_TRUE(contains(exchange_read(), "200 OK"));
    auto const second = add_second();
    for (int n = 0; n < 20; ++n)
        EXPECT_TRUE(contains(exchange_read(), "200 OK"));
    EXPECT_LE(first->received.size(), 2U);
    EXPECT_GE(second->received.size(), 19U);
}

// Callers whose requests no runner takes are told so at once.
TEST_F(runner_notices, refuse_requests_above_the_limit_of_the_last_runner)
{
    for (int n = 0; n < 100; ++n)
        first->script.emplace_back([](received_request const& in)
                                   { return answer_with_limits(in, {"0.1"}); });
    EXPECT_TRUE(contains(exchange_read(), "200 OK"));
    int refused = 0;
    for (int n = 0; n < 10; ++n)
    {
        auto const answer = exchange_read();
        if (!contains(answer, "HTTP/1.1 503"))
            continue;
        ++refused;
        EXPECT_TRUE(contains(answer, "Retry-After: ")) << answer;
    }
    EXPECT_GE(refused, 9);
    EXPECT_LE(first->received.size(), 2U);
}

// A limit that cannot be read counted as none, or ended the use of its runner.
TEST_F(runner_notices, with_a_limit_that_cannot_be_read_change_nothing)
{
    for (auto const& odd :
         {std::vector<std::string>{"-1"}, {"many"}, {""}, {"0.1", "0.2"}})
    {
        first->script.emplace_back([odd](received_request const& in)
                                   { return answer_with_limits(in, odd); });
        EXPECT_TRUE(contains(exchange_read(), "200 OK"));
    }
    EXPECT_EQ(first->received.size(), 4U);
}

// The late copy of an answer to an earlier call of stages was taken for the
// answer to the next call, so that a request ran with the results of another.
TEST_F(runner_notices, of_stages_are_not_taken_from_a_copy_of_an_earlier_answer)
{
    auto const engine = add_runner("engine-1", "engine");
    auto const stage = add_runner("stage-1", "stage");
    wait_for_runners();
    std::string earlier;
    bool repeated = false;
    std::function<scripted_answer(received_request const&)> answer;
    answer = [&](received_request const& in)
    {
        stage->script.emplace_back(answer);
        if (!in.stage_call)
            return runner_standin::proper(in, "{}");
        auto out = stage->stage_answer(in);
        bool const repeat = !earlier.empty() && !repeated;
        if (repeat)
        {
            repeated = true;
            out.bytes = earlier + out.bytes;
        }
        else
            earlier = out.bytes;
        return out;
    };
    stage->script.emplace_back(answer);
    EXPECT_TRUE(
        contains(exchange(request("POST", "/staged/x", "", "1")), "200 OK"));
    EXPECT_TRUE(
        contains(exchange(request("POST", "/staged/y", "", "1")), "200 OK"));
    EXPECT_TRUE(repeated);
    ASSERT_EQ(engine->received.size(), 2U);
    EXPECT_NE(engine->received[0].inputs, engine->received[1].inputs);
}

// The late copy of an answer that has only reasons was taken for the answer to
// the next call: nothing in it tells its call. All later answers of the
// connection were then taken for those to the next calls.
TEST_F(runner_notices, of_stages_are_not_taken_from_a_copy_without_results)
{
    auto const engine = add_runner("engine-1", "engine");
    auto const stage = add_runner("stage-1", "stage");
    wait_for_runners();
    constexpr char const* reasons = R"({"items":[{"reason":"error"}]})";
    std::map<std::string, std::string> request_by_result;
    std::deque<std::pair<std::size_t, std::string>> late_answers;
    int calls = 0;
    std::function<scripted_answer(received_request const&)> answer;
    answer = [&](received_request const& in)
    {
        stage->script.emplace_back(answer);
        if (!in.stage_call)
            return runner_standin::proper(in, "{}");
        ++calls;
        if (calls == 1)
            return runner_standin::proper(in, reasons);
        auto const result = stage->address() + "/" + std::to_string(calls);
        request_by_result[result] = nlohmann::json::parse(in.body)
                                        .at("items")
                                        .at(0)
                                        .at("id")
                                        .get<std::string>();
        auto const body = R"({"items":[{"handle":")" + result + R"("}]})";
        late_answers.emplace_back(in.connection,
                                  runner_standin::proper(in, body).bytes);
        scripted_answer out;
        if (calls == 2)
            out = runner_standin::proper(in, reasons);
        else
            out.silent = true;
        return out;
    };
    stage->script.emplace_back(answer);
    recording_caller first_caller(loop, callers_port);
    first_caller.send(request("POST", "/staged/x", "", "1"));
    EXPECT_TRUE(run_until([&] { return calls == 3; }));
    // Waits for the call in progress.
    recording_caller second_caller(loop, callers_port);
    second_caller.send(request("POST", "/staged/y", "", "1"));
    run_until(
        [&]
        {
            run_for(std::chrono::milliseconds(60));
            if (!late_answers.empty())
            {
                auto const& next = late_answers.front();
                stage->write(next.first, next.second);
                late_answers.pop_front();
            }
            return contains(second_caller.received, "body of") ||
                   second_caller.ended;
        });
    ASSERT_EQ(engine->received.size(), 2U);
    for (auto const& it : engine->received)
        EXPECT_EQ(request_by_result[it.inputs], it.id);
}

class unfinished_head : public runner_notices,
                        public testing::WithParamInterface<std::size_t>
{
};

// A runner that stops within the head of its answer must not be taken for one
// that answered with an empty body.
TEST_P(unfinished_head, is_not_delivered)
{
    first->script.emplace_back(
        [](received_request const& in)
        {
            auto out = runner_standin::proper(in, "whole");
            out.bytes.resize(GetParam());
            out.close = true;
            return out;
        });
    auto const answer = exchange(request("POST", "/book/x", "body"));
    EXPECT_TRUE(contains(answer, "HTTP/1.1 502")) << answer;
}

INSTANTIATE_TEST_SUITE_P(cuts, unfinished_head,
                         testing::Values(0, 1, 12, 16, 17, 30, 60));

} // namespace
} // namespace buckthornvale::gateway
