#include "fake_pool.hpp"
#include "reducer_fixture.hpp"

#include <set>

namespace buckthornvale::decision::gateway
{
namespace
{

//! A fleet whose first runner of each service is in a domain of its own.
class evacuation : public reducer_fixture
{
protected:
    evacuation()
    {
        for (auto const* service : {"plain", "engine", "stage"})
            for (int n = 2; n <= runners_of(service); ++n)
                move(service, n, "south");
    }

    static int runners_of(std::string const& service)
    {
        return service == "stage" ? 2 : 3;
    }

    void move(std::string const& service, int n, std::string domain)
    {
        auto value = make_runner(service + "-" + std::to_string(n), service);
        value.failure_domain = std::move(domain);
        feed(runner_changed{value});
    }

    void evacuate(std::string const& domain)
    {
        feed(evacuation_changed{domain, true});
    }

    //! Runners that get requests to the path, each once.
    std::set<std::string> runners_for(std::string const& path)
    {
        std::set<std::string> out;
        for (int n = 0; n < 30; ++n)
        {
            for (auto const& it : all<send_attempt>(arrive(path)))
                out.insert(it.runner_id);
            end_attempt(attempt_outcome::answered, 200, true);
        }
        return out;
    }

    //! Sends a request with one piece.
    effects call_stages()
    {
        request_arrived in;
        in.request = ++last_request;
        in.traits.id = "id-" + std::to_string(last_request);
        in.traits.method = "POST";
        in.traits.host = "h";
        in.traits.path = "/staged/";
        in.traits.key = "key";
        in.traits.time_left = 3s;
        in.traits.pieces = {1};
        return feed(in);
    }
};

using ids = std::set<std::string>;

// Requests went on to the runners of a failure domain that the operator
// evacuates.
TEST_F(evacuation, keeps_requests_away_until_it_ends)
{
    EXPECT_EQ(runners_for("/read/x").count("plain-1"), 1U);
    evacuate("north");
    EXPECT_EQ(runners_for("/read/x"), (ids{"plain-2", "plain-3"}));
    feed(evacuation_changed{"north", false});
    EXPECT_EQ(runners_for("/read/x").count("plain-1"), 1U);
}

// The runners of an evacuated domain are not the last resort of a retry
// either.
TEST_F(evacuation, keeps_retries_away)
{
    evacuate("south");
    EXPECT_EQ(only<send_attempt>(arrive("/read/x")).runner_id, "plain-1");
    EXPECT_TRUE(
        all<send_attempt>(end_attempt(attempt_outcome::not_sent)).empty());
    EXPECT_TRUE(all<send_attempt>(advance(2s)).empty());
}

// What the test above relies on: without an evacuation the retry goes there.
TEST_F(evacuation, leaves_retries_alone_after_its_end)
{
    evacuate("south");
    EXPECT_EQ(only<send_attempt>(arrive("/read/x")).runner_id, "plain-1");
    feed(evacuation_changed{"south", false});
    auto retried = all<send_attempt>(end_attempt(attempt_outcome::not_sent));
    if (retried.empty())
        retried = all<send_attempt>(advance(2s));
    ASSERT_EQ(retried.size(), 1U);
    EXPECT_NE(retried[0].runner_id, "plain-1");
}

TEST_F(evacuation, keeps_resumed_streams_away_until_it_ends)
{
    evacuate("south");
    EXPECT_EQ(only<send_attempt>(arrive("/resume/x", 5s)).runner_id,
              "engine-1");
    stream_started started;
    started.request = last_request;
    started.attempt = 1;
    started.last_event_id = "1";
    feed(started);
    EXPECT_TRUE(
        all<send_attempt>(end_attempt(attempt_outcome::interrupted, 200, true))
            .empty());
    feed(evacuation_changed{"south", false});
    auto const resumed = only<send_attempt>(advance(1s));
    EXPECT_NE(resumed.runner_id, "engine-1");
    EXPECT_EQ(resumed.last_event_id, "1");
}

// What a runner of the domain works on already ends by itself.
TEST_F(evacuation, leaves_running_requests_alone)
{
    arrive("/read/x");
    auto const effects = feed(evacuation_changed{"north", true});
    EXPECT_TRUE(all<cancel_attempt>(effects).empty());
    EXPECT_TRUE(
        all<cancel_attempt>(feed(evacuation_changed{"south", true})).empty());
    EXPECT_EQ(
        all<deliver_answer>(end_attempt(attempt_outcome::answered, 200, true))
            .size(),
        1U);
}

TEST_F(evacuation, refuses_at_once_when_nothing_is_left)
{
    evacuate("north");
    evacuate("south");
    auto const refused = only<refuse_request>(arrive("/book/x"));
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.retry_after);
    EXPECT_EQ(only<refuse_request>(arrive("/stream/x", 5s)).status, 503);
}

// Pieces wait for a while for a runner that may come back. Their request is
// refused in time, without a call.
TEST_F(evacuation, refuses_stages_in_time_when_nothing_is_left)
{
    evacuate("north");
    evacuate("south");
    auto out = call_stages();
    auto const later = advance(2s);
    out.insert(out.end(), later.begin(), later.end());
    EXPECT_TRUE(all<call_stage>(out).empty());
    EXPECT_EQ(only<refuse_request>(out).status, 503);
}

// Pieces are requests too, for whichever VM they are sent.
TEST_F(evacuation, keeps_stage_calls_away)
{
    evacuate("north");
    EXPECT_EQ(only<call_stage>(call_stages()).runner_id, "stage-2");
}

TEST_F(evacuation, keeps_stage_calls_away_from_the_other_domain)
{
    evacuate("south");
    EXPECT_EQ(only<call_stage>(call_stages()).runner_id, "stage-1");
}

// A domain that is evacuated must not hold pieces back that wait for a runner
// in it.
TEST_F(evacuation, is_no_preferred_domain_of_pieces)
{
    evacuate("north");
    auto const call = only<call_stage>(call_stages());
    EXPECT_EQ(call.pieces.at(0).domain, "south");
}

// Requests to free results are requests to a runner as well. What is not freed
// lapses.
TEST(evacuation_of_results, sends_no_request_to_free_them)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    pool.runners.evacuations().start("north", start);
    scheduler.release({"10.0.0.1:80/a", "10.0.0.2:80/b", "10.9.9.9:80/c"});
    effects out;
    scheduler.dispatch(pool.runners, pool.next_call, start, out);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<free_results>(out[0]).address, "10.0.0.2:80");
    pool.runners.evacuations().end("north", start + 1s);
    out.clear();
    scheduler.dispatch(pool.runners, pool.next_call, start + 1s, out);
    EXPECT_EQ(out.size(), 2U);
}

// Handles that cannot be freed piled up as long as the evacuation lasted, and
// went out in one call long after the runner had dropped the results.
TEST(evacuation_of_results, forgets_them_when_they_have_lapsed)
{
    fake_pool pool(2);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    pool.runners.evacuations().start("north", start);
    effects out;
    auto const dispatch_at = [&](duration elapsed)
    { scheduler.dispatch(pool.runners, pool.next_call, start + elapsed, out); };
    scheduler.release({"10.0.0.1:80/a", "10.9.9.9:80/b"});
    dispatch_at(0s);
    dispatch_at(3s);
    scheduler.release({"10.0.0.1:80/c"});
    dispatch_at(3s);
    dispatch_at(4s);
    pool.runners.evacuations().end("north", start + 5s);
    dispatch_at(5s);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<free_results>(out[0]).address, "10.0.0.1:80");
    pool.runners.evacuations().start("north", start + 6s);
    scheduler.release({"10.0.0.1:80/d"});
    dispatch_at(6s);
    dispatch_at(10s);
    pool.runners.evacuations().end("north", start + 11s);
    dispatch_at(11s);
    EXPECT_EQ(out.size(), 1U);
}

// Memory of results that lapsed must not count as used.
TEST(evacuation_of_results, returns_the_memory_of_those_that_have_lapsed)
{
    fake_pool pool(1);
    stage_scheduler scheduler("s");
    scheduler.configure(limits_of(1000));
    scheduler.submit("vm", {make_piece(1)}, start);
    pool.dispatch(scheduler, false);
    pool.now = start + 1s;
    pool.end_call(scheduler, 1);
    auto const results = scheduler.take_results();
    ASSERT_FALSE(results.empty());
    EXPECT_GT(scheduler.result_memory_share(), 0);
    pool.runners.evacuations().start("north", pool.now);
    scheduler.release({results.back().result.handle});
    pool.dispatch(scheduler, false);
    pool.now += 4s;
    pool.dispatch(scheduler, false);
    EXPECT_EQ(scheduler.result_memory_share(), 0);
}

// Forecasts counted runners that get nothing.
TEST(evacuation_of_results, leaves_evacuated_runners_out_of_forecasts)
{
    fake_pool all(4);
    fake_pool half(4);
    half.runners.evacuations().start("north", start);
    auto const wait_of = [](fake_pool& pool)
    {
        stage_scheduler scheduler("s");
        scheduler.configure(limits_of(1000));
        std::vector<piece> pieces;
        for (request_ref n = 1; n <= 400; ++n)
            pieces.push_back(make_piece(n));
        scheduler.submit("vm", pieces, start);
        return scheduler.expected_waits(pool.runners, start)
            .classes.at(0)
            .behind;
    };
    EXPECT_GE(to_seconds(wait_of(half)), 1.8 * to_seconds(wait_of(all)));
}

// A VM that has not read the evacuations must not take requests.
TEST_F(evacuation, has_to_be_known_before_a_vm_is_ready)
{
    gateway_settings settings;
    settings.vm_name = "vm-1";
    settings.evacuation_timeout = 5s;
    reducer starting(settings);
    starting.reduce(manifest_changed{make_manifest(1)}, now);
    starting.reduce(runners_listed{}, now);
    EXPECT_FALSE(starting.ready());
    starting.reduce(evacuations_listed{{"north"}}, now);
    EXPECT_TRUE(starting.ready());
    EXPECT_EQ(starting.evacuated_domains(), 1U);
}

//! A VM that has not read the evacuations.
class unread_evacuations : public reducer_fixture
{
protected:
    unread_evacuations() : reducer_fixture(settings()) {}

    static gateway_settings settings()
    {
        auto out = default_settings();
        out.evacuation_timeout = 5s;
        return out;
    }

    static piece make_stage_piece()
    {
        auto out = make_piece(1);
        out.service = "stage";
        return out;
    }
};

// Callers may reach a VM that is not ready. It sent their requests to any
// domain.
TEST_F(unread_evacuations, keep_requests_from_all_runners)
{
    auto const refused = only<refuse_request>(arrive("/book/x"));
    EXPECT_EQ(refused.status, 503);
    feed(evacuations_listed{});
    EXPECT_EQ(all<send_attempt>(arrive("/book/x")).size(), 1U);
}

TEST_F(unread_evacuations, keep_the_pieces_of_peers_from_all_runners)
{
    auto const out =
        feed(peer_sent{"vm-1", {submit_pieces{{make_stage_piece()}}}});
    EXPECT_TRUE(all<call_stage>(out).empty());
    EXPECT_EQ(all<call_stage>(feed(evacuations_listed{})).size(), 1U);
}

// A store that came back from a copy of the time before the evacuation showed
// none.
TEST_F(evacuation, holds_on_after_the_store_has_come_back_from_a_copy)
{
    evacuate("north");
    feed(evacuations_listed{{}, true});
    EXPECT_EQ(runners_for("/read/x").count("plain-1"), 0U);
    advance(4s);
    EXPECT_EQ(runners_for("/read/x").count("plain-1"), 1U);
}

//! A fleet whose cold runners take few requests. The first plain runner is in
//! an evacuated domain.
class end_of_evacuation : public reducer_fixture
{
protected:
    end_of_evacuation() : reducer_fixture(settings())
    {
        auto next = std::make_shared<manifest>(*make_manifest(2));
        next->services["plain"].cold_requests_per_s = 2;
        feed(manifest_changed{next});
        feed(evacuations_listed{{"north"}});
        feed(runners_listed{runners(0s)});
    }

    static gateway_settings settings()
    {
        auto out = default_settings();
        out.evacuation_timeout = 5s;
        out.cold_starts = cold_start_bounds{1.5, 5};
        return out;
    }

    static std::vector<runner> runners(duration cold_time_left)
    {
        std::vector<runner> out;
        for (auto const* id : {"plain-1", "plain-2"})
            out.push_back(make_runner(id, "plain"));
        out[1].failure_domain = "south";
        out[0].cold_time_left = cold_time_left;
        return out;
    }

    //! Number of requests out of many that the runner of the domain gets.
    std::size_t sends_to_domain()
    {
        std::size_t out = 0;
        for (int n = 0; n < 30; ++n)
        {
            for (auto const& it : all<send_attempt>(arrive("/book/x")))
                out += it.runner_id == "plain-1" ? 1 : 0;
            end_attempt(attempt_outcome::answered, 200, true);
        }
        return out;
    }
};

// The change of the evacuation may arrive before that of the runners, which
// turned cold shortly before. They got requests as if they were warm.
TEST_F(end_of_evacuation, sends_nothing_before_the_cold_runners_are_known)
{
    auto const effects = feed(evacuation_changed{"north", false});
    EXPECT_EQ(all<list_runners>(effects).size(), 1U);
    EXPECT_EQ(sends_to_domain(), 0U);
    feed(runners_listed{runners(10s)});
    EXPECT_LE(sends_to_domain(), 1U);
    feed(runners_listed{runners(0s)});
    EXPECT_GT(sends_to_domain(), 1U);
}

TEST_F(end_of_evacuation, sends_nothing_after_a_list_lacks_it)
{
    auto const effects = feed(evacuations_listed{});
    EXPECT_EQ(all<list_runners>(effects).size(), 1U);
    EXPECT_EQ(sends_to_domain(), 0U);
    feed(runners_listed{runners(0s)});
    EXPECT_GT(sends_to_domain(), 1U);
}

TEST_F(end_of_evacuation, sends_nothing_after_it_was_held_for_a_copy)
{
    feed(evacuations_listed{{}, true});
    auto const effects = advance(8s);
    EXPECT_EQ(all<list_runners>(effects).size(), 1U);
    EXPECT_EQ(sends_to_domain(), 0U);
}

// A copy may show the runners as they were before they turned cold.
TEST_F(end_of_evacuation, does_not_rely_on_runners_of_a_copy)
{
    feed(evacuation_changed{"north", false});
    feed(runners_listed{runners(0s), {}, true});
    EXPECT_EQ(sends_to_domain(), 0U);
}

// A store that is out must not keep the domain from use for ever.
TEST_F(end_of_evacuation, waits_a_limited_time_for_the_runners)
{
    feed(evacuation_changed{"north", false});
    advance(29s);
    EXPECT_EQ(sends_to_domain(), 0U);
    advance(1s);
    EXPECT_GT(sends_to_domain(), 1U);
}

TEST_F(end_of_evacuation, is_followed_by_another_one)
{
    feed(evacuation_changed{"north", false});
    feed(evacuation_changed{"north", true});
    feed(runners_listed{runners(0s)});
    advance(30s);
    EXPECT_EQ(sends_to_domain(), 0U);
}

// A runner that a list lacks was not read again: its cold time began anew with
// each list.
TEST_F(end_of_evacuation, counts_the_cold_time_of_listed_runners_only)
{
    feed(runners_listed{runners(1500ms)});
    now += 900ms;
    auto others = runners(0s);
    others.erase(others.begin());
    feed(runners_listed{others, now});
    now += 700ms;
    EXPECT_EQ(gateway.cold_runners(now), 0U);
}

} // namespace
} // namespace buckthornvale::decision::gateway
