#include "reducer_fixture.hpp"

#include <string>

namespace buckthornvale::decision::gateway
{
namespace
{

using namespace std::chrono_literals;

class gateway_placement : public reducer_fixture
{
protected:
    gateway_placement()
    {
        auto manifest = make_manifest(2);
        route it;
        it.name = it.path_prefix = "/ask/";
        it.host = "h";
        it.kind = request_kind::at_most_once;
        it.timeout = 20s;
        it.target_latency = 10s;
        it.services = {{"engine", 1}};
        manifest->add_route(it);
        feed(manifest_changed{manifest});
    }

    //! Starts a stream whose first runner breaks off after the event "17".
    send_attempt resume_stream()
    {
        arrive("/resume/x", 20s);
        feed(stream_started{last_request, 1, {}, "16"});
        attempt_ended in;
        in.request = last_request;
        in.attempt = next_attempt++;
        in.transport = transport_end::broken_off;
        in.last_event_id = "17";
        return only<send_attempt>(feed(in));
    }

    int sends_to(std::string const& runner_id, int requests)
    {
        int out = 0;
        for (int n = 0; n < requests; ++n)
        {
            auto const sent = only<send_attempt>(arrive("/stream/x", 6s));
            out += sent.runner_id == runner_id ? 1 : 0;
            feed(stream_started{last_request, 1, {}, {}});
        }
        return out;
    }

    effects arrive_with_tokens(std::string const& path, double tokens)
    {
        request_arrived in;
        in.request = ++last_request;
        in.traits.id = "id-" + std::to_string(last_request);
        in.traits.method = "POST";
        in.traits.host = "h";
        in.traits.path = path;
        in.traits.key = "key";
        in.traits.time_left = 6s;
        in.traits.prompt_tokens = tokens;
        return feed(in);
    }
};

// Guards against a sound runner that counts as stalled because it resumed the
// stream of another one.
TEST_F(gateway_placement, a_resumed_stream_has_its_first_event)
{
    auto const resumed = resume_stream();
    now += 20ms;
    feed(stream_advanced{resumed.request, resumed.attempt, "18"});
    now += 1s;
    feed(stream_advanced{resumed.request, resumed.attempt, "19"});
    EXPECT_GT(sends_to(resumed.runner_id, 12), 0);
}

// Guards against a stalled runner that gets requests because it sends comments.
TEST_F(gateway_placement, a_comment_is_not_the_first_event_of_a_resumed_stream)
{
    auto const resumed = resume_stream();
    now += 20ms;
    feed(stream_advanced{resumed.request, resumed.attempt, "17"});
    now += 1s;
    EXPECT_EQ(sends_to(resumed.runner_id, 6), 0);
}

// Guards against a sound runner that counts as stalled while it works on a
// request whose answer has no events.
TEST_F(gateway_placement, an_answer_without_events_is_not_overdue)
{
    auto const sent = only<send_attempt>(arrive("/ask/x", 20s));
    now += 1s;
    EXPECT_GT(sends_to(sent.runner_id, 12), 0);
}

// Guards against stages that run for a request which no model runner has the
// memory for.
TEST_F(gateway_placement, no_stage_runs_while_no_runner_has_memory)
{
    for (int n = 0; n < 3; ++n)
        only<send_attempt>(arrive_with_tokens("/stream/x", 900));
    auto const out = arrive_with_tokens("/staged/x", 900);
    EXPECT_TRUE(all<call_stage>(out).empty());
    auto const answer = only<refuse_request>(out);
    EXPECT_EQ(answer.reason, refusal::runners_full);
    EXPECT_EQ(answer.status, 503);
}

// Guards against one caller that takes the runners for itself by what it states
// of its request.
TEST_F(gateway_placement, stated_tokens_do_not_take_all_runners)
{
    for (int n = 0; n < 3; ++n)
        only<send_attempt>(arrive_with_tokens("/stream/x", 9'999'999));
    EXPECT_EQ(all<send_attempt>(arrive_with_tokens("/stream/x", 500)).size(),
              1U);
}

} // namespace
} // namespace buckthornvale::decision::gateway
