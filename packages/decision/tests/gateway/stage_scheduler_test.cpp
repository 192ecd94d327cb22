#include "fake_pool.hpp"

#include <gtest/gtest.h>

namespace buckthornvale::decision::gateway
{
namespace
{

// Five runners that take 22 pieces per call have to keep up with 250 pieces per
// second from eight VMs. A scheduler that sends single pieces processes 24 per
// second.
TEST(stage_scheduler, batches_the_pieces_of_all_vms)
{
    fake_pool pool(5);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    request_ref request = 1;
    for (int ms = 0; ms < 10'000; ms += 4)
    {
        pool.run(scheduler, start + std::chrono::milliseconds(ms), true);
        scheduler.submit("vm-" + std::to_string(request % 8),
                         {make_piece(request)}, pool.now);
        ++request;
    }
    pool.run(scheduler, start + 20s, true);
    EXPECT_EQ(pool.outcomes[piece_outcome::done], int(request - 1));
}

// A refusal for lack of memory must reduce the batch size only for a limited
// time. A leak in this accounting once shrank all later batches of the runner.
TEST(stage_scheduler, restores_the_batch_size_after_a_runner_was_out_of_room)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(40));
    effects out;
    scheduler.submit("vm", {make_piece(1)}, start);
    scheduler.dispatch(pool.runners, pool.next_call, start, out);
    stage_call_ended ended;
    ended.call = 1;
    ended.outcome = call_outcome::answered;
    ended.pieces.push_back({piece_outcome::failed, true, ""});
    scheduler.call_ended(ended, pool.runners, start + 208ms);
    std::vector<piece> pieces;
    for (request_ref n = 2; n < 60; ++n)
        pieces.push_back(make_piece(n));
    scheduler.submit("vm", pieces, start + 5s);
    pool.run(scheduler, start + 5s, true);
    pool.run(scheduler, start + 8s, true);
    ASSERT_FALSE(pool.batches.empty());
    EXPECT_EQ(*std::max_element(pool.batches.begin(), pool.batches.end()), 22U);
}

// Calls must not exceed the runners' memory for results.
TEST(stage_scheduler, starts_no_call_while_results_fill_the_room)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(30));
    std::vector<piece> pieces;
    for (request_ref n = 1; n < 60; ++n)
        pieces.push_back(make_piece(n));
    scheduler.submit("vm", pieces, start);
    pool.run(scheduler, start, false);
    pool.run(scheduler, start + 2s, false);
    std::size_t placed = 0;
    for (auto const it : pool.batches)
        placed += it;
    EXPECT_LE(placed, 30U);
    EXPECT_GE(placed, 22U);
}

// Large results must not cross failure domains while a runner in the right
// domain is free or will soon be.
TEST(stage_scheduler, prefers_runners_in_the_domain_of_the_request)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    for (request_ref n = 1; n <= 20; ++n)
    {
        auto const now = start + std::chrono::seconds(n);
        pool.run(scheduler, now, true);
        scheduler.submit("vm", {make_piece(n, "south")}, now);
        pool.dispatch(scheduler, true);
    }
    pool.run(scheduler, start + 40s, true);
    EXPECT_EQ(pool.pieces_by_runner["r-0"], 0U);
    EXPECT_EQ(pool.pieces_by_runner["r-1"], 20U);
}

// Pieces must not starve while the runners of their own domain are busy.
TEST(stage_scheduler, uses_another_domain_after_a_short_wait)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    for (request_ref n = 1; n <= 2; ++n)
        scheduler.submit("vm", {make_piece(n, "south")},
                         start + std::chrono::milliseconds(n - 1));
    pool.run(scheduler, start, true);
    scheduler.submit("vm", {make_piece(3, "south")}, start + 1ms);
    pool.run(scheduler, start + 200ms, true);
    EXPECT_EQ(pool.pieces_by_runner["r-0"], 1U);
}

// A piece must not be processed twice when its VM repeats the submission.
TEST(stage_scheduler, ignores_repeated_submissions)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1)}, start);
    scheduler.submit("vm", {make_piece(1)}, start);
    EXPECT_EQ(scheduler.waiting(), 1U);
    pool.run(scheduler, start, true);
    scheduler.submit("vm", {make_piece(1)}, start);
    EXPECT_EQ(scheduler.waiting(), 0U);
    scheduler.submit("other-vm", {make_piece(1)}, start);
    EXPECT_EQ(scheduler.waiting(), 1U);
}

// Pieces that cannot be served in time are dropped early if they have not been
// started. Otherwise their requests would wait until the deadline.
TEST(stage_scheduler, drops_late_pieces_that_have_not_started)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    std::vector<piece> pieces;
    for (request_ref n = 1; n <= 200; ++n)
        pieces.push_back(make_piece(n));
    scheduler.submit("vm", pieces, start);
    pool.run(scheduler, start, true);
    pool.run(scheduler, start + 1100ms, true);
    EXPECT_EQ(scheduler.waiting(), 0U);
    EXPECT_GT(pool.outcomes[piece_outcome::late], 100);
}

// A piece with inputs was started until its deadline, although what follows it
// could not end in time any more: its result was never used.
TEST(stage_scheduler, drops_pieces_whose_later_stages_cannot_end_in_time)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1)}, start);
    pool.run(scheduler, start, true);
    auto work = make_piece(2);
    work.inputs = {"10.0.0.9:80/1"};
    work.latest_start_in = 100ms;
    scheduler.submit("vm", {std::move(work)}, start);
    pool.run(scheduler, start + 1s, true);
    EXPECT_EQ(pool.outcomes[piece_outcome::done], 1);
    EXPECT_EQ(pool.outcomes[piece_outcome::late], 1);
}

// The latest start is an estimate. Pieces that were a little behind it were
// dropped, with the results that they would have read.
TEST(stage_scheduler, starts_pieces_that_are_little_behind_their_latest_start)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1)}, start);
    pool.run(scheduler, start, true);
    auto work = make_piece(2);
    work.inputs = {"10.0.0.9:80/1"};
    work.latest_start_in = 150ms;
    scheduler.submit("vm", {std::move(work)}, start);
    pool.run(scheduler, start + 1s, true);
    EXPECT_EQ(pool.outcomes[piece_outcome::done], 2);
}

// Pieces must not be lost with the runner that processed them.
TEST(stage_scheduler, retries_pieces_on_another_runner)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1)}, start);
    pool.run(scheduler, start, true);
    auto const first = pool.calls[1].runner_id;
    stage_call_ended broken;
    broken.call = 1;
    broken.outcome = call_outcome::no_answer;
    scheduler.call_ended(broken, pool.runners, start + 50ms);
    pool.now = start + 50ms;
    pool.dispatch(scheduler, true);
    ASSERT_EQ(pool.calls.size(), 2U);
    EXPECT_NE(pool.calls[2].runner_id, first);
}

// A runner may become unreachable while it holds a call. In an incident, four
// of six runners did, and requests were held for five seconds.
TEST(stage_scheduler, hedges_a_call_that_takes_too_long)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1)}, start);
    pool.dispatch(scheduler, true);
    auto const silent_runner = pool.calls[1].runner_id;
    pool.call_ends = {};
    pool.now = start + 300ms;
    scheduler.hedge_slow_calls(pool.now);
    pool.dispatch(scheduler, true);
    EXPECT_EQ(pool.calls.size(), 1U);
    pool.now = start + 700ms;
    scheduler.hedge_slow_calls(pool.now);
    pool.dispatch(scheduler, true);
    ASSERT_EQ(pool.calls.size(), 2U);
    EXPECT_NE(pool.calls[2].runner_id, silent_runner);
    pool.run(scheduler, start + 2s, true);
    EXPECT_EQ(pool.outcomes[piece_outcome::done], 1);
    // The end of the first call has no further effect.
    stage_call_ended broken;
    broken.call = 1;
    broken.outcome = call_outcome::no_answer;
    scheduler.call_ended(broken, pool.runners, start + 3s);
    EXPECT_EQ(scheduler.waiting(), 0U);
}

// A slow runner gets no batch while the others can take all pieces, but it must
// not count as slow forever.
TEST(stage_scheduler, excludes_a_slow_runner_while_the_others_suffice)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    std::vector<piece> pieces;
    for (request_ref n = 1; n <= 44; ++n)
        pieces.push_back(make_piece(n));
    scheduler.submit("vm", pieces, start);
    pool.dispatch(scheduler, true);
    ASSERT_EQ(pool.calls.size(), 2U);
    pool.call_ends = {};
    pool.now = start + 376ms;
    pool.end_call(scheduler, 2);
    pool.now = start + 1900ms;
    pool.end_call(scheduler, 1);
    pool.dispatch(scheduler, true);
    auto const slow = pool.calls[1].runner_id;
    for (request_ref n = 100; n < 103; ++n)
    {
        auto const now = start + 2s + 500ms * std::int64_t(n - 100);
        pool.run(scheduler, now, true);
        scheduler.submit("vm", {make_piece(n)}, now);
        pool.dispatch(scheduler, true);
        EXPECT_NE(pool.calls.rbegin()->second.runner_id, slow);
    }
    pool.run(scheduler, start + 30s, true);
    scheduler.submit("vm", {make_piece(200)}, pool.now);
    scheduler.submit("vm2", {make_piece(201)}, pool.now);
    pool.dispatch(scheduler, true);
    EXPECT_EQ(scheduler.waiting(), 0U);
}

TEST(stage_scheduler, drops_the_pieces_of_callers_that_left)
{
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1), make_piece(2)}, start);
    scheduler.withdraw("vm", {1});
    EXPECT_EQ(scheduler.waiting(), 1U);
    scheduler.withdraw_all("vm");
    EXPECT_EQ(scheduler.waiting(), 0U);
}

// Two processes of one VM must not use the same request identifiers. Otherwise
// a result for the previous process is attributed to a request of the current
// one.
TEST(stage_message, processes_of_a_vm_number_their_requests_apart)
{
    auto const former = first_request_ref(7);
    auto const present = first_request_ref(8);
    constexpr request_ref requests_of_a_process = 1'000'000'000;
    EXPECT_TRUE(former + requests_of_a_process < present ||
                present + requests_of_a_process < former);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(former)}, start);
    scheduler.submit("vm", {make_piece(present)}, start);
    EXPECT_EQ(scheduler.waiting(), 2U);
}

// A late copy of an earlier answer was taken for the answer to the next call,
// so that a request got the results of another.
TEST(stage_scheduler, does_not_use_an_answer_that_repeats_an_earlier_one)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    effects out;
    stage_call_ended first;
    first.call = 1;
    first.outcome = call_outcome::answered;
    first.pieces.push_back({piece_outcome::done, false, "10.0.0.1:80/a"});
    scheduler.submit("vm", {make_piece(1)}, start);
    scheduler.dispatch(pool.runners, pool.next_call, start, out);
    EXPECT_EQ(scheduler.call_ended(first, pool.runners, start + 208ms),
              answer_origin::own);
    EXPECT_EQ(scheduler.take_results().size(), 1U);

    scheduler.submit("vm", {make_piece(2)}, start + 300ms);
    scheduler.dispatch(pool.runners, pool.next_call, start + 300ms, out);
    auto copy = first;
    copy.call = 2;
    copy.repeated = true;
    EXPECT_EQ(scheduler.call_ended(copy, pool.runners, start + 310ms),
              answer_origin::repeated);
    EXPECT_TRUE(scheduler.take_results().empty());
    EXPECT_EQ(scheduler.waiting(), 1U);
}

} // namespace
} // namespace buckthornvale::decision::gateway
