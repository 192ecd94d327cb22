#include "support/vm_fixture.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision
{
namespace
{

using requests::attempt_outcome;
using requests::counter;
using requests::outcome;
using testing::fake_store;
using testing::vm_fixture;

requests::start_attempt complete_first_stage(vm_fixture& fixture)
{
    fixture.complete(fixture.next_attempt(), "\"code\"");
    return fixture.next_attempt();
}

// Guards against results that are assigned to the wrong request when a runner
// swaps the answers of two calls.
TEST(crossed_answers, reach_the_requests_that_they_name)
{
    fake_store store;
    vm_fixture fixture(store, "vm-1", 1);
    auto const a = fixture.send("fan", "", false, "\"a\"");
    auto const b = fixture.send("fan", "", false, "\"b\"");
    auto const left_a = fixture.next_attempt();
    auto const right_a = fixture.next_attempt();
    auto const left_b = fixture.next_attempt();
    auto const right_b = fixture.next_attempt();
    fixture.complete_as(left_a, left_b, "\"left of b\"");
    fixture.complete_as(left_b, left_a, "\"left of a\"");
    fixture.complete(right_a, "\"right of a\"");
    fixture.complete(right_b, "\"right of b\"");
    auto const join_a = fixture.next_attempt();
    auto const join_b = fixture.next_attempt();
    EXPECT_EQ(join_a.results[0].output->bytes, "\"left of a\"");
    EXPECT_EQ(join_b.results[0].output->bytes, "\"left of b\"");
    fixture.complete(join_a, "\"a\"");
    fixture.complete(join_b, "\"b\"");
    EXPECT_EQ(fixture.answers[a].result->bytes, "\"a\"");
    EXPECT_EQ(fixture.answers[b].result->bytes, "\"b\"");
    EXPECT_EQ(fixture.counted(counter::answer_crossed), 2.);
}

// Guards against a request that waits forever because its answer was sent on
// another call, which no longer exists.
TEST(crossed_answers, fail_the_attempt_when_its_own_answer_never_comes)
{
    fake_store store;
    vm_fixture fixture(store, "vm-1", 1);
    auto const id = fixture.send("answer");
    auto const encode = fixture.next_attempt();
    auto stranger = encode;
    stranger.attempt.counter += 1000;
    fixture.complete_as(encode, stranger, "\"of another\"");
    EXPECT_FALSE(fixture.has_answer(id));
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, outcome::unknown);
}

// Guards against a late answer of an abandoned attempt that replaces the result
// of the retry.
TEST(late_answer, is_counted_and_dropped)
{
    fake_store store;
    vm_fixture fixture(store);
    for (int n = 0; n < 20; ++n) // fills the retry budget
    {
        fixture.send("answer");
        fixture.end_stream(complete_first_stage(fixture), 0);
    }
    auto const id = fixture.send("answer");
    auto const first = fixture.next_attempt();
    fixture.fail(first, attempt_outcome::timed_out);
    auto const second = fixture.next_attempt();
    EXPECT_NE(first.runner, second.runner);
    fixture.complete(first, "\"late\"");
    EXPECT_EQ(fixture.counted(counter::answer_late), 1.);
    fixture.complete(second, "\"in time\"");
    auto const generate = fixture.next_attempt();
    EXPECT_EQ(generate.results[0].output->bytes, "\"in time\"");
    fixture.end_stream(generate, 0);
    EXPECT_EQ(fixture.answer_counts[id], 1);
}

// Guards against duplicate or missing tokens when a stream resumes on another
// runner.
TEST(broken_stream, resumes_on_another_runner_from_the_next_token)
{
    fake_store store;
    vm_fixture fixture(store);
    for (int n = 0; n < 20; ++n)
    {
        fixture.send("answer");
        fixture.end_stream(complete_first_stage(fixture), 0);
    }
    auto const id = fixture.send("answer", "", true);
    auto const first = complete_first_stage(fixture);
    fixture.token(first, 0, "a");
    fixture.token(first, 1, "b");
    fixture.fail(first, attempt_outcome::connection_lost, true);
    auto const second = fixture.next_attempt();
    EXPECT_EQ(second.resume_from, 2u);
    EXPECT_NE(second.runner, first.runner);
    fixture.token(second, 2, "c");
    fixture.end_stream(second, 3);
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result->bytes, "abc");
    ASSERT_EQ(fixture.tokens.size(), 3u);
    for (std::uint64_t n = 0; n < 3; ++n)
        EXPECT_EQ(fixture.tokens[n].index, n);
}

// Guards against a stream with a missing token that is reported as complete.
TEST(broken_stream, is_never_completed_with_a_missing_token)
{
    fake_store store;
    vm_fixture fixture(store, "vm-1", 1);
    auto const id = fixture.send("answer", "", true);
    auto const generate = complete_first_stage(fixture);
    fixture.token(generate, 0, "a");
    fixture.token(generate, 2, "c");
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, outcome::unknown);
    EXPECT_EQ(fixture.tokens.size(), 1u);
}

// Guards against a stream that ends early and is reported as complete.
TEST(broken_stream, is_never_completed_when_its_end_names_more_tokens)
{
    fake_store store;
    vm_fixture fixture(store, "vm-1", 1);
    auto const id = fixture.send("answer", "", true);
    auto const generate = complete_first_stage(fixture);
    fixture.token(generate, 0, "a");
    fixture.end_stream(generate, 2);
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_NE(fixture.answers[id].result_kind, outcome::completed);
}

// Guards against work that continues after its caller has disconnected.
TEST(hang_up, cancels_the_running_stages)
{
    fake_store store;
    vm_fixture fixture(store);
    auto const id = fixture.send("fan");
    auto const left = fixture.next_attempt();
    auto const right = fixture.next_attempt();
    fixture.disconnect_caller(id);
    ASSERT_EQ(fixture.cancels.size(), 2u);
    EXPECT_EQ(fixture.cancels[0].attempt, left.attempt);
    EXPECT_EQ(fixture.cancels[1].attempt, right.attempt);
    EXPECT_TRUE(fixture.vm.idle());
}

// Guards against cancelling a started booking when its caller disconnects.
TEST(hang_up, lets_a_started_booking_end)
{
    fake_store store;
    vm_fixture fixture(store);
    auto const id = fixture.send("booking", "key-1");
    fixture.advance(std::chrono::milliseconds(100));
    auto const book = complete_first_stage(fixture);
    fixture.disconnect_caller(id);
    EXPECT_TRUE(fixture.cancels.empty());
    EXPECT_FALSE(fixture.vm.idle());
    fixture.complete(book, "{\"booked\":7}");
    EXPECT_TRUE(fixture.vm.idle());
}

// Guards against a request that crashes one runner after another.
TEST(crashing_request, is_isolated_after_a_bounded_number_of_runners)
{
    fake_store store;
    vm_fixture fixture(store, "vm-1", 8);
    int crashed = 0;
    for (int n = 0; n < 20; ++n)
    {
        auto const id = fixture.send("answer", "", false, "\"crashes\"");
        while (!fixture.attempts.empty())
        {
            fixture.fail(fixture.next_attempt(),
                         attempt_outcome::connection_lost, true);
            ++crashed;
        }
        if (fixture.has_answer(id) &&
            fixture.answers[id].failure.kind == error_kind::isolated)
        {
            EXPECT_EQ(fixture.answers[id].result_kind, outcome::not_run);
        }
        fixture.advance(std::chrono::seconds(1));
    }
    EXPECT_LE(crashed, 3);
    auto const last = fixture.send("answer", "", false, "\"crashes\"");
    ASSERT_TRUE(fixture.has_answer(last));
    EXPECT_EQ(fixture.answers[last].failure.kind, error_kind::isolated);
    fixture.advance(std::chrono::milliseconds(10));
    EXPECT_EQ(fixture.counted(counter::content_isolated), 1.);
}

} // namespace
} // namespace buckthornvale::decision
