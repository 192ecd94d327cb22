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

requests::start_attempt run_first_stage(vm_fixture& it)
{
    it.complete(it.next_attempt(), "\"code\"");
    return it.next_attempt();
}

// Guards against a result that is handed to another request when a runner
// swaps the answers of two calls.
TEST(crossed_answers, reach_the_requests_that_they_name)
{
    fake_store store;
    vm_fixture it(store, "vm-1", 1);
    auto const a = it.send("fan", "", false, "\"a\"");
    auto const b = it.send("fan", "", false, "\"b\"");
    auto const left_a = it.next_attempt();
    auto const right_a = it.next_attempt();
    auto const left_b = it.next_attempt();
    auto const right_b = it.next_attempt();
    it.complete_as(left_a, left_b, "\"left of b\"");
    it.complete_as(left_b, left_a, "\"left of a\"");
    it.complete(right_a, "\"right of a\"");
    it.complete(right_b, "\"right of b\"");
    auto const join_a = it.next_attempt();
    auto const join_b = it.next_attempt();
    EXPECT_EQ(join_a.results[0].output->bytes, "\"left of a\"");
    EXPECT_EQ(join_b.results[0].output->bytes, "\"left of b\"");
    it.complete(join_a, "\"a\"");
    it.complete(join_b, "\"b\"");
    EXPECT_EQ(it.answers[a].result->bytes, "\"a\"");
    EXPECT_EQ(it.answers[b].result->bytes, "\"b\"");
    EXPECT_EQ(it.counted(counter::answer_crossed), 2.);
}

// Guards against a request that waits for ever when its answer went to
// another call that is already gone.
TEST(crossed_answers, fail_the_attempt_when_its_own_answer_never_comes)
{
    fake_store store;
    vm_fixture it(store, "vm-1", 1);
    auto const id = it.send("answer");
    auto const encode = it.next_attempt();
    auto stranger = encode;
    stranger.attempt.counter += 1000;
    it.complete_as(encode, stranger, "\"of another\"");
    EXPECT_FALSE(it.has_answer(id));
    it.advance(std::chrono::seconds(6));
    ASSERT_TRUE(it.has_answer(id));
    EXPECT_EQ(it.answers[id].result_kind, outcome::unknown);
}

// Guards against an answer that arrives after its attempt was given up and
// replaces the result of the retry.
TEST(late_answer, is_counted_and_dropped)
{
    fake_store store;
    vm_fixture it(store);
    for (int n = 0; n < 20; ++n) // earns retries
    {
        it.send("answer");
        it.end_stream(run_first_stage(it), 0);
    }
    auto const id = it.send("answer");
    auto const first = it.next_attempt();
    it.fail(first, attempt_outcome::timed_out);
    auto const second = it.next_attempt();
    EXPECT_NE(first.runner, second.runner);
    it.complete(first, "\"late\"");
    EXPECT_EQ(it.counted(counter::answer_late), 1.);
    it.complete(second, "\"in time\"");
    auto const generate = it.next_attempt();
    EXPECT_EQ(generate.results[0].output->bytes, "\"in time\"");
    it.end_stream(generate, 0);
    EXPECT_EQ(it.answer_counts[id], 1);
}

// Guards against a caller that sees a token twice or misses one when its
// stream moves to another runner.
TEST(broken_stream, resumes_on_another_runner_from_the_next_token)
{
    fake_store store;
    vm_fixture it(store);
    for (int n = 0; n < 20; ++n)
    {
        it.send("answer");
        it.end_stream(run_first_stage(it), 0);
    }
    auto const id = it.send("answer", "", true);
    auto const first = run_first_stage(it);
    it.token(first, 0, "a");
    it.token(first, 1, "b");
    it.fail(first, attempt_outcome::connection_lost, true);
    auto const second = it.next_attempt();
    EXPECT_EQ(second.resume_from, 2u);
    EXPECT_NE(second.runner, first.runner);
    it.token(second, 2, "c");
    it.end_stream(second, 3);
    ASSERT_TRUE(it.has_answer(id));
    EXPECT_EQ(it.answers[id].result->bytes, "abc");
    ASSERT_EQ(it.tokens.size(), 3u);
    for (std::uint64_t n = 0; n < 3; ++n)
        EXPECT_EQ(it.tokens[n].index, n);
}

// Guards against a stream with a hole that is passed on as whole.
TEST(broken_stream, is_never_completed_with_a_missing_token)
{
    fake_store store;
    vm_fixture it(store, "vm-1", 1);
    auto const id = it.send("answer", "", true);
    auto const generate = run_first_stage(it);
    it.token(generate, 0, "a");
    it.token(generate, 2, "c");
    it.advance(std::chrono::seconds(6));
    ASSERT_TRUE(it.has_answer(id));
    EXPECT_EQ(it.answers[id].result_kind, outcome::unknown);
    EXPECT_EQ(it.tokens.size(), 1u);
}

// Guards against a stream that ends early and is passed on as whole.
TEST(broken_stream, is_never_completed_when_its_end_names_more_tokens)
{
    fake_store store;
    vm_fixture it(store, "vm-1", 1);
    auto const id = it.send("answer", "", true);
    auto const generate = run_first_stage(it);
    it.token(generate, 0, "a");
    it.end_stream(generate, 2);
    it.advance(std::chrono::seconds(6));
    ASSERT_TRUE(it.has_answer(id));
    EXPECT_NE(it.answers[id].result_kind, outcome::completed);
}

// Guards against work that goes on for a caller that left.
TEST(hang_up, cancels_the_running_stages)
{
    fake_store store;
    vm_fixture it(store);
    auto const id = it.send("fan");
    auto const left = it.next_attempt();
    auto const right = it.next_attempt();
    it.hang_up(id);
    ASSERT_EQ(it.cancels.size(), 2u);
    EXPECT_EQ(it.cancels[0].attempt, left.attempt);
    EXPECT_EQ(it.cancels[1].attempt, right.attempt);
    EXPECT_TRUE(it.vm.idle());
}

// Guards against a booking that is cut off half-way when its caller leaves.
TEST(hang_up, lets_a_started_booking_end)
{
    fake_store store;
    vm_fixture it(store);
    auto const id = it.send("booking", "key-1");
    it.advance(std::chrono::milliseconds(100));
    auto const book = run_first_stage(it);
    it.hang_up(id);
    EXPECT_TRUE(it.cancels.empty());
    EXPECT_FALSE(it.vm.idle());
    it.complete(book, "{\"booked\":7}");
    EXPECT_TRUE(it.vm.idle());
}

// Guards against a request that takes down one runner after another.
TEST(crashing_request, is_isolated_after_a_bounded_number_of_runners)
{
    fake_store store;
    vm_fixture it(store, "vm-1", 8);
    int crashed = 0;
    for (int n = 0; n < 20; ++n)
    {
        auto const id = it.send("answer", "", false, "\"crashes\"");
        while (!it.attempts.empty())
        {
            it.fail(it.next_attempt(), attempt_outcome::connection_lost, true);
            ++crashed;
        }
        if (it.has_answer(id) &&
            it.answers[id].failure.kind == error_kind::isolated)
        {
            EXPECT_EQ(it.answers[id].result_kind, outcome::not_run);
        }
        it.advance(std::chrono::seconds(1));
    }
    EXPECT_LE(crashed, 3);
    auto const last = it.send("answer", "", false, "\"crashes\"");
    ASSERT_TRUE(it.has_answer(last));
    EXPECT_EQ(it.answers[last].failure.kind, error_kind::isolated);
    it.advance(std::chrono::milliseconds(10));
    EXPECT_EQ(it.counted(counter::content_isolated), 1.);
}

} // namespace
} // namespace buckthornvale::decision
