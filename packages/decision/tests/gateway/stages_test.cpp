#include <buckthornvale/decision/gateway/stage_pipeline.hpp>
#include <buckthornvale/decision/gateway/stage_scheduler.hpp>

#include <gtest/gtest.h>

#include <map>
#include <queue>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

time_point const start{100s};

std::vector<route_stage> three_stages()
{
    return {{"a", {}, 10}, {"b", {0}, 10}, {"c", {1}, 10}};
}

piece_result result_of(std::uint32_t stage, std::uint32_t number,
                       std::string handle)
{
    piece_result out;
    out.stage = stage;
    out.number = number;
    out.outcome = piece_outcome::done;
    out.handle = std::move(handle);
    return out;
}

using numbers = std::vector<std::uint32_t>;
using handles = std::vector<std::string>;

TEST(stage_pipeline, starts_stages_when_their_inputs_are_there)
{
    stage_pipeline it(three_stages(), numbers{1, 2, 1});
    EXPECT_EQ(it.take_ready(), numbers{0});
    EXPECT_TRUE(it.take_ready().empty());
    EXPECT_TRUE(it.add_result(result_of(0, 0, "h0")));
    EXPECT_EQ(it.take_ready(), numbers{1});
    EXPECT_EQ(it.inputs_of(1), handles{"h0"});
    EXPECT_TRUE(it.add_result(result_of(1, 1, "h11")));
    EXPECT_TRUE(it.take_ready().empty());
    EXPECT_TRUE(it.add_result(result_of(1, 0, "h10")));
    EXPECT_EQ(it.take_ready(), numbers{2});
    EXPECT_EQ(it.inputs_of(2), (handles{"h10", "h11"}));
    EXPECT_FALSE(it.complete());
    EXPECT_TRUE(it.add_result(result_of(2, 0, "h2")));
    EXPECT_TRUE(it.complete());
    EXPECT_EQ(it.final_results(), handles{"h2"});
}

// Guards against a result that is used twice or taken from a former round.
TEST(stage_pipeline, takes_each_result_once)
{
    stage_pipeline it(three_stages(), numbers{1, 1, 1});
    it.take_ready();
    EXPECT_TRUE(it.add_result(result_of(0, 0, "first")));
    EXPECT_FALSE(it.add_result(result_of(0, 0, "second")));
    EXPECT_FALSE(it.add_result(result_of(0, 7, "x")));
    EXPECT_FALSE(it.add_result(result_of(9, 0, "x")));
    EXPECT_FALSE(it.add_result(result_of(1, 0, "not started")));
    it.restart();
    it.take_ready();
    EXPECT_FALSE(it.add_result(result_of(0, 0, "of round 0")));
}

TEST(stage_pipeline, leaves_out_stages_without_pieces)
{
    stage_pipeline it({{"a", {}, 1}, {"b", {}, 1}}, numbers{0, 1});
    EXPECT_EQ(it.take_ready(), numbers{1});
    it.add_result(result_of(1, 0, "h"));
    EXPECT_TRUE(it.complete());
    EXPECT_EQ(it.final_results(), handles{"h"});
    stage_pipeline none({{"a", {}, 1}}, numbers{0});
    EXPECT_TRUE(none.take_ready().empty());
    EXPECT_TRUE(none.complete());
}

// Guards against results that fill the runners' room after their last use, and
// against results that are given up while a piece still needs them.
TEST(stage_pipeline, gives_up_results_when_they_were_read)
{
    stage_pipeline it(three_stages(), numbers{1, 2, 1});
    it.take_ready();
    it.add_result(result_of(0, 0, "h0"));
    it.take_ready();
    EXPECT_TRUE(it.take_unneeded().empty());
    piece_result progress;
    progress.stage = 1;
    progress.number = 0;
    it.note_inputs_read(progress);
    EXPECT_TRUE(it.take_unneeded().empty());
    progress.number = 1;
    it.note_inputs_read(progress);
    auto const unneeded = it.take_unneeded();
    ASSERT_EQ(unneeded.size(), 1U);
    EXPECT_EQ(unneeded[0], (std::pair<std::string, std::string>("a", "h0")));
    EXPECT_TRUE(it.take_unneeded().empty());
    it.add_result(result_of(1, 0, "h10"));
    EXPECT_EQ(it.take_all().size(), 1U);
}

// A fake stage service: runners with one place each that need a fixed time a
// call and a time a piece.
class fake_pool
{
public:
    explicit fake_pool(std::size_t runner_count)
    {
        for (std::size_t n = 0; n < runner_count; ++n)
        {
            runner it;
            it.id = "r-" + std::to_string(n);
            it.service = "s";
            it.address = "10.0.0." + std::to_string(n + 1) + ":80";
            it.failure_domain = n % 2 == 0 ? "north" : "south";
            runners.upsert(it);
        }
    }

    // Runs calls and results up to the time; frees results at once when told.
    void run(stage_scheduler& scheduler, time_point until, bool free_results)
    {
        while (!ends.empty() && ends.top().first <= until)
        {
            auto const next = ends.top();
            ends.pop();
            now = next.first;
            finish(scheduler, next.second);
            collect(scheduler, free_results);
        }
        now = until;
        collect(scheduler, free_results);
    }

    void collect(stage_scheduler& scheduler, bool free_results)
    {
        effects out;
        scheduler.dispatch(runners, next_call, now, out);
        for (auto const& it : out)
        {
            if (auto const* call = std::get_if<call_stage>(&it))
                begin(*call);
            if (auto const* freed =
                    std::get_if<decision::gateway::free_results>(&it))
                scheduler.results_freed(freed->call);
        }
        for (auto const& it : scheduler.take_results())
        {
            if (it.result.outcome == piece_outcome::inputs_read)
                continue;
            ++outcomes[it.result.outcome];
            if (free_results && !it.result.handle.empty())
                scheduler.release({it.result.handle});
        }
    }

    void begin(call_stage const& call)
    {
        batches.push_back(call.pieces.size());
        domains[call.runner_id] += call.pieces.size();
        calls[call.call] = call;
        ends.emplace(now + 200ms + 8ms * std::int64_t(call.pieces.size()),
                     call.call);
    }

    void finish(stage_scheduler& scheduler, call_ref ref)
    {
        stage_call_ended ended;
        ended.call = ref;
        ended.outcome = call_outcome::answered;
        for (std::size_t n = 0; n < calls[ref].pieces.size(); ++n)
            ended.pieces.push_back({piece_outcome::done, false,
                                    calls[ref].address + "/" +
                                        std::to_string(ref) + "-" +
                                        std::to_string(n)});
        scheduler.call_ended(ended, runners, now);
    }

    using call_end = std::pair<time_point, call_ref>;

    runner_directory runners{2s};
    time_point now = start;
    call_ref next_call = 1;
    std::map<call_ref, call_stage> calls;
    std::priority_queue<call_end, std::vector<call_end>, std::greater<>> ends;
    std::vector<std::size_t> batches;
    std::map<std::string, std::size_t> domains;
    std::map<piece_outcome, int> outcomes;
};

piece make_piece(request_ref request, std::string domain = {})
{
    piece out;
    out.request = request;
    out.service = "s";
    out.domain = std::move(domain);
    out.result_bytes = 1;
    out.due_in = 1s;
    out.last_in = 5s;
    out.time_left = 6s;
    return out;
}

piece_limits limits_of(double room)
{
    piece_limits out;
    out.batch = 22;
    out.call_time = 200ms;
    out.piece_time = 8ms;
    out.result_bytes = room;
    out.result_lifetime = 4s;
    return out;
}

// Guards against many small calls under load: five runners that take 22 pieces
// a call have to keep up with 250 pieces a second from eight VMs. A scheduler
// that sends single pieces makes 24 a second.
TEST(stage_scheduler, gathers_the_pieces_of_all_vms_into_large_calls)
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

// Guards against an account of room that leaks: one refusal for want of room
// shrank all later batches of the runner.
TEST(stage_scheduler, fills_batches_again_after_a_refusal_for_room)
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

// Guards against calls that overrun the runners' room for results.
TEST(stage_scheduler, holds_calls_back_while_results_fill_the_room)
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

// Guards against large results that cross failure domains while a runner of
// the right one is free or soon will be.
TEST(stage_scheduler, works_in_the_domain_of_the_request)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    for (request_ref n = 1; n <= 20; ++n)
    {
        auto const now = start + std::chrono::seconds(n);
        pool.run(scheduler, now, true);
        scheduler.submit("vm", {make_piece(n, "south")}, now);
        pool.collect(scheduler, true);
    }
    pool.run(scheduler, start + 40s, true);
    EXPECT_EQ(pool.domains["r-0"], 0U);
    EXPECT_EQ(pool.domains["r-1"], 20U);
}

// Guards against pieces that starve because their own domain is busy.
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
    EXPECT_EQ(pool.domains["r-0"], 1U);
}

// Guards against a result of a VM's former process that is taken for a request
// of its present one: both number their requests from the start.
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

// Guards against a piece that is worked on twice because its VM asked again.
TEST(stage_scheduler, ignores_pieces_that_it_knows)
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

// Guards against requests that are held to their deadline in a queue that can
// never serve them: those that cost nothing yet are given up at once.
TEST(stage_scheduler, gives_up_untouched_pieces_that_are_late)
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

// Guards against pieces that are lost with the runner that worked on them.
TEST(stage_scheduler, tries_pieces_on_another_runner)
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
    pool.collect(scheduler, true);
    ASSERT_EQ(pool.calls.size(), 2U);
    EXPECT_NE(pool.calls[2].runner_id, first);
}

// Guards against pieces that wait for a runner which has gone dark with their
// call (an incident: four of six runners went dark, and requests were held for
// five seconds).
TEST(stage_scheduler, repeats_the_pieces_of_a_call_that_takes_too_long)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1)}, start);
    pool.collect(scheduler, true);
    auto const dark = pool.calls[1].runner_id;
    pool.ends = {};
    pool.now = start + 300ms;
    pool.collect(scheduler, true);
    EXPECT_EQ(pool.calls.size(), 1U);
    pool.now = start + 700ms;
    pool.collect(scheduler, true);
    ASSERT_EQ(pool.calls.size(), 2U);
    EXPECT_NE(pool.calls[2].runner_id, dark);
    pool.run(scheduler, start + 2s, true);
    EXPECT_EQ(pool.outcomes[piece_outcome::done], 1);
    // The end of the first call changes nothing any more.
    stage_call_ended broken;
    broken.call = 1;
    broken.outcome = call_outcome::no_answer;
    scheduler.call_ended(broken, pool.runners, start + 3s);
    EXPECT_EQ(scheduler.waiting(), 0U);
}

// Guards against batches that are given to a slow runner while the others can
// take them, and against a runner that counts as slow for ever.
TEST(stage_scheduler, leaves_a_slow_runner_out_while_others_suffice)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    std::vector<piece> pieces;
    for (request_ref n = 1; n <= 44; ++n)
        pieces.push_back(make_piece(n));
    scheduler.submit("vm", pieces, start);
    pool.collect(scheduler, true);
    ASSERT_EQ(pool.calls.size(), 2U);
    pool.ends = {};
    pool.now = start + 376ms;
    pool.finish(scheduler, 2);
    pool.now = start + 1900ms;
    pool.finish(scheduler, 1);
    pool.collect(scheduler, true);
    auto const slow = pool.calls[1].runner_id;
    for (request_ref n = 100; n < 103; ++n)
    {
        auto const now = start + 2s + 500ms * std::int64_t(n - 100);
        pool.run(scheduler, now, true);
        scheduler.submit("vm", {make_piece(n)}, now);
        pool.collect(scheduler, true);
        EXPECT_NE(pool.calls.rbegin()->second.runner_id, slow);
    }
    pool.run(scheduler, start + 30s, true);
    scheduler.submit("vm", {make_piece(200)}, pool.now);
    scheduler.submit("vm2", {make_piece(201)}, pool.now);
    pool.collect(scheduler, true);
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

// Five runners that take 22 pieces in 376 ms: 292 pieces a second.
constexpr int pool_pieces_per_s = 292;

// Notes when pieces get their turn.
class flooded_pool
{
public:
    flooded_pool() { scheduler.configure(limits_of(1000)); }

    // In steps, so that turns are noted when they come.
    void finish(duration length)
    {
        auto const end = pool.now + length;
        while (pool.now < end)
            run(pool.now + 10ms);
    }

    void submit_noted(duration due_in)
    {
        due_times[request] = due_in;
        auto work = make_piece(request);
        work.due_in = due_in;
        due[request++] = pool.now + due_in;
        scheduler.submit("vm", {std::move(work)}, pool.now);
    }

    void run(time_point until)
    {
        pool.run(scheduler, until, true);
        for (; seen < pool.next_call; ++seen)
        {
            auto const call = pool.calls.find(seen);
            if (call == pool.calls.end())
                continue;
            for (auto const& it : call->second.pieces)
                turn.emplace(it.request, pool.now);
        }
    }

    // Pieces that were due in this time and got their turn by then.
    int on_time(duration due_in, int& all) const
    {
        int out = 0;
        all = 0;
        for (auto const& it : due_times)
        {
            if (it.second != due_in)
                continue;
            ++all;
            auto const at = turn.find(it.first);
            out += at != turn.end() && at->second <= due.at(it.first) ? 1 : 0;
        }
        return out;
    }

    fake_pool pool{5};
    stage_scheduler scheduler{"s"};
    request_ref request = 1;
    call_ref seen = 1;
    std::map<request_ref, time_point> due;
    std::map<request_ref, duration> due_times;
    std::map<request_ref, time_point> turn;
};

// Guards against urgent pieces that wait behind a flood of patient ones: at one
// and a half times the capacity, a tenth of it urgent, the urgent ones are on
// time, and the forecast for them does not count the patient ones.
TEST(stage_scheduler, keeps_urgent_pieces_on_time_in_a_flood_of_patient_ones)
{
    flooded_pool it;
    constexpr duration urgent = 600ms;
    constexpr duration patient = 3s;
    constexpr int pieces = pool_pieces_per_s * 3 / 2 * 4;
    duration longest{};
    duration longest_urgent{};
    for (int n = 0; n < pieces; ++n)
    {
        it.run(start + duration(4s) * n / pieces);
        it.submit_noted(n % 10 == 0 ? urgent : patient);
        auto const waits =
            it.scheduler.expected_waits(it.pool.runners, it.pool.now);
        longest = std::max(longest, waits.longest());
        longest_urgent = std::max(longest_urgent, waits.at(urgent));
    }
    it.finish(20s);
    int all = 0;
    EXPECT_EQ(it.on_time(urgent, all), all);
    EXPECT_GT(all, 0);
    EXPECT_GT(longest, 1s);
    EXPECT_LT(longest_urgent, 500ms);
}

// Guards against a queue in which all are late because those that are late
// already go first: at one and a half times the capacity, three quarters of
// what the runners can do is on time.
TEST(stage_scheduler, lets_late_pieces_yield_to_those_that_can_be_on_time)
{
    flooded_pool it;
    constexpr duration due_in = 500ms;
    constexpr int seconds = 6;
    constexpr int pieces = pool_pieces_per_s * 3 / 2 * seconds;
    for (int n = 0; n < pieces; ++n)
    {
        it.run(start + duration(std::chrono::seconds(seconds)) * n / pieces);
        it.submit_noted(due_in);
    }
    it.finish(20s);
    int all = 0;
    EXPECT_GE(it.on_time(due_in, all), pool_pieces_per_s * seconds * 3 / 4);
    // Late ones are served too, or given up while their callers can return.
    EXPECT_EQ(int(it.turn.size()) + it.pool.outcomes[piece_outcome::late], all);
}

TEST(wait_profile, gives_the_wait_of_what_is_due_sooner)
{
    wait_profile it;
    it.waits = {0s, 1s, 2s, 3s, 4s, 5s};
    EXPECT_EQ(it.at(-1s), 0s);
    EXPECT_EQ(it.at(0s), 0s);
    EXPECT_EQ(it.at(1ms), 1s);
    EXPECT_EQ(it.at(500ms), 2s);
    EXPECT_EQ(it.at(4s), 5s);
    EXPECT_EQ(it.at(9s), 5s);
    EXPECT_EQ(it.longest(), 5s);
}

} // namespace
} // namespace buckthornvale::decision::gateway
