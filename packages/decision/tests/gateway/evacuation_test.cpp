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

} // namespace
} // namespace buckthornvale::decision::gateway
