#include "support/vm_fixture.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision
{
namespace
{

using requests::attempt_outcome;
using requests::outcome;
using testing::fake_store;
using testing::vm_fixture;

// Guards against a lost or duplicate answer to a request without failures.
TEST(request_outcome, is_completed_once_after_the_last_stage)
{
    fake_store store;
    vm_fixture fixture(store);
    auto const id = fixture.send("answer");
    fixture.complete(fixture.next_attempt(), "\"code\"");
    auto const generate = fixture.next_attempt();
    ASSERT_EQ(generate.results.size(), 1u);
    EXPECT_EQ(generate.results[0].output->bytes, "\"code\"");
    fixture.token(generate, 0, "a");
    fixture.token(generate, 1, "b");
    fixture.end_stream(generate, 2);
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, outcome::completed);
    EXPECT_EQ(fixture.answers[id].result->bytes, "ab");
    EXPECT_EQ(fixture.answer_counts[id], 1);
    EXPECT_TRUE(fixture.vm.idle());
}

// Expected outcome of a request whose stage attempt ends with `how`.
struct failure_row
{
    char const* name;
    attempt_outcome how;
    outcome expected;
    bool safe_to_repeat;
};

class repeatable_stage_failure : public ::testing::TestWithParam<failure_row>
{
};

// Guards against reporting "not run" for work that a runner may have executed,
// and "unknown" for work that certainly did not start.
TEST_P(repeatable_stage_failure, tells_whether_it_may_have_run)
{
    fake_store store;
    vm_fixture fixture(store);
    auto const id = fixture.send("answer");
    while (!fixture.has_answer(id) && !fixture.attempts.empty())
        fixture.fail(fixture.next_attempt(), GetParam().how);
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, GetParam().expected);
    EXPECT_EQ(fixture.answers[id].safe_to_repeat, GetParam().safe_to_repeat);
    EXPECT_EQ(fixture.answer_counts[id], 1);
}

INSTANTIATE_TEST_SUITE_P(
    all_outcomes, repeatable_stage_failure,
    ::testing::Values(failure_row{"not_started", attempt_outcome::not_started,
                                  outcome::not_run, true},
                      failure_row{"rejected", attempt_outcome::rejected,
                                  outcome::unknown, true},
                      failure_row{"connection_lost",
                                  attempt_outcome::connection_lost,
                                  outcome::unknown, true},
                      failure_row{"timed_out", attempt_outcome::timed_out,
                                  outcome::unknown, true}),
    [](auto const& row) { return row.param.name; });

class booking_stage_failure : public ::testing::TestWithParam<failure_row>
{
};

// Guards against running a booking again that may have been executed.
TEST_P(booking_stage_failure, never_runs_it_again_unless_it_did_not_start)
{
    fake_store store;
    vm_fixture fixture(store, "vm-1", 1);
    auto const id = fixture.send("booking", "key-1");
    fixture.advance(std::chrono::milliseconds(100));
    fixture.complete(fixture.next_attempt(), "\"code\"");
    fixture.fail(fixture.next_attempt(), GetParam().how);
    EXPECT_TRUE(fixture.attempts.empty());
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, GetParam().expected);
    EXPECT_EQ(fixture.answers[id].safe_to_repeat, GetParam().safe_to_repeat);

    // A repeated request runs the booking if and only if the first one
    // certainly did not start. The release of the first claim takes effect with
    // the next write of its shard; shard writes are rate-limited.
    auto const again = fixture.send("booking", "key-1");
    for (int n = 0;
         n < 300 && fixture.attempts.empty() && !fixture.has_answer(again); ++n)
        fixture.advance(std::chrono::milliseconds(10));
    EXPECT_EQ(fixture.attempts.empty(), !GetParam().safe_to_repeat);
    EXPECT_EQ(fixture.has_answer(again), !GetParam().safe_to_repeat);
}

INSTANTIATE_TEST_SUITE_P(
    all_outcomes, booking_stage_failure,
    ::testing::Values(failure_row{"not_started", attempt_outcome::not_started,
                                  outcome::unknown, true},
                      failure_row{"rejected", attempt_outcome::rejected,
                                  outcome::unknown, false},
                      failure_row{"connection_lost",
                                  attempt_outcome::connection_lost,
                                  outcome::unknown, false},
                      failure_row{"timed_out", attempt_outcome::timed_out,
                                  outcome::unknown, false}),
    [](auto const& row) { return row.param.name; });

// Guards against a booking that runs while its claim cannot be stored.
TEST(booking, is_not_run_while_the_store_is_out)
{
    fake_store store;
    store.outage = true;
    vm_fixture fixture(store);
    auto const id = fixture.send("booking", "key-1");
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, outcome::not_run);
    EXPECT_TRUE(fixture.attempts.empty());
    // Requests without a claim still run.
    fixture.send("answer");
    EXPECT_EQ(fixture.attempts.size(), 1u);
}

// Guards against a duplicate booking after the answer to the claim write was
// lost.
TEST(booking, runs_once_when_the_claims_answer_is_lost)
{
    fake_store store;
    store.lost_answers_left = 1;
    vm_fixture fixture(store);
    auto const id = fixture.send("booking", "key-1");
    for (int n = 0; n < 300 && fixture.attempts.empty(); ++n)
        fixture.advance(std::chrono::milliseconds(10));
    fixture.complete(fixture.next_attempt(), "\"code\"");
    fixture.complete(fixture.next_attempt(), "{\"booked\":7}");
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, outcome::completed);
    EXPECT_TRUE(fixture.attempts.empty());
}

// Guards against a duplicate booking when requests with the same key arrive at
// two VMs. Both fixtures generate the same nonces, so a VM must not take the
// claim of the other VM for its own.
TEST(booking, gives_the_first_result_to_a_repeat_through_another_vm)
{
    fake_store store;
    vm_fixture first(store, "vm-1");
    vm_fixture second(store, "vm-2");
    first.send("booking", "key-1");
    first.advance(std::chrono::milliseconds(100));
    first.complete(first.next_attempt(), "\"code\"");
    first.complete(first.next_attempt(), "{\"booked\":7}");
    first.advance(std::chrono::seconds(2));

    auto const repeat = second.send("booking", "key-1");
    second.advance(std::chrono::milliseconds(100));
    EXPECT_TRUE(second.attempts.empty());
    ASSERT_TRUE(second.has_answer(repeat));
    ASSERT_EQ(second.answers[repeat].result_kind, outcome::completed)
        << message_of(second.answers[repeat].failure);
    EXPECT_EQ(second.answers[repeat].result->bytes, "{\"booked\":7}");
    EXPECT_TRUE(second.attempts.empty());
}

// Guards against one key being used for two different bookings.
TEST(booking, refuses_a_key_with_another_body)
{
    fake_store store;
    vm_fixture fixture(store);
    fixture.send("booking", "key-1");
    fixture.advance(std::chrono::milliseconds(100));
    auto const other = fixture.send("booking", "key-1", false, "{\"q\":2}");
    fixture.advance(std::chrono::milliseconds(100));
    ASSERT_TRUE(fixture.has_answer(other));
    EXPECT_EQ(fixture.answers[other].result_kind, outcome::not_run);
    EXPECT_EQ(fixture.answers[other].failure.kind, error_kind::key_reused);
}

// Guards against a claim that stays unknown although a late answer arrived.
TEST(booking, is_settled_by_an_answer_after_the_callers_deadline)
{
    fake_store store;
    vm_fixture fixture(store);
    auto const id = fixture.send("booking", "key-1");
    fixture.advance(std::chrono::milliseconds(100));
    fixture.complete(fixture.next_attempt(), "\"code\"");
    auto const book = fixture.next_attempt();
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, outcome::unknown);
    EXPECT_FALSE(fixture.answers[id].safe_to_repeat);
    fixture.complete(book, "{\"booked\":7}");
    fixture.advance(std::chrono::seconds(2));
    EXPECT_TRUE(fixture.vm.idle());

    auto const repeat = fixture.send("booking", "key-1");
    fixture.advance(std::chrono::milliseconds(100));
    ASSERT_TRUE(fixture.has_answer(repeat));
    EXPECT_EQ(fixture.answers[repeat].result_kind, outcome::completed);
    EXPECT_EQ(fixture.answers[repeat].result->bytes, "{\"booked\":7}");
}

// Guards against a request that waits forever when the pool has no runners.
TEST(request_outcome, is_not_run_at_the_deadline_when_no_runner_is_left)
{
    fake_store store;
    vm_fixture fixture(store, "vm-1", 0);
    auto const id = fixture.send("answer");
    fixture.advance(std::chrono::seconds(6));
    ASSERT_TRUE(fixture.has_answer(id));
    EXPECT_EQ(fixture.answers[id].result_kind, outcome::not_run);
}

} // namespace
} // namespace buckthornvale::decision
